//! A request that was let in, and why one is not.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::set;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;
use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;
use slog::info;

use crate::gate::context::Context;

/// What a refused request names in logs and metrics where nothing better is known.
pub const NOBODY: &str = "-";

/// `Entry` is a request that was let in, before it is told apart by what it wants.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What every request needs.
    pub context: Arc<Context>,
    /// The set that was in force when it came.
    pub set: Arc<Set>,
    /// Names the request.
    pub id: String,
    /// Whose it is.
    pub organisation: arena::Organisation,
    /// Where it goes.
    pub route: arena::Route,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Key by which it may be repeated.
    pub idempotency_key: Option<String>,
    /// Content type, if it was named.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// When it came, on the daemon's clock.
    pub arrived: Millis,
    /// When no answer helps any more, on the daemon's clock.
    pub deadline: Millis,
}

/// `Refusal` is an error kind with words for people.
#[derive(Clone, Copy, Debug)]
pub struct Refusal(pub Kind, pub &'static str);

/// Result of taking a request in.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Makes a name for a request that no other request of any daemon has.
pub fn id(daemon: &str) -> String {
    format!("{daemon}-{:016x}", rand::random::<u64>())
}

/// The organisation whose API key the headers carry.
pub fn organisation(set: &Set, headers: &HeaderMap) -> Result<arena::Organisation> {
    let refusal = Refusal(Kind::Unauthenticated, "a valid API key is needed");
    let value = text(headers, AUTHORIZATION.as_str()).ok_or(refusal)?;
    let key = value.strip_prefix("Bearer ").ok_or(refusal)?;
    set.authenticate(key.trim()).ok_or(refusal)
}

/// The text of a header, where it is there and is text.
pub fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Writes the one line of a request into the log and counts it.
pub fn record(
    context: &Context,
    id: &str,
    route: &str,
    organisation: &str,
    code: &str,
    arrived: Millis,
) {
    let took = context.clock.now() - arrived;
    context
        .metrics
        .requests
        .with_label_values(&[route, organisation, code])
        .inc();
    info!(context.log, "request"; "request_id" => id, "route" => route,
        "organisation" => organisation, "code" => code, "took_ms" => took.0);
}

impl Entry {
    /// The route's object; the key is from the set that the entry holds.
    pub fn object(&self) -> Option<&set::Route> {
        self.set.routes.get(self.route)
    }

    /// Name of the organisation.
    pub fn organisation_name(&self) -> &str {
        self.set
            .organisations
            .get(self.organisation)
            .map_or(NOBODY, |o| o.name.as_str())
    }

    /// Name of the route.
    pub fn route_name(&self) -> &str {
        self.object().map_or(NOBODY, |route| route.name.as_str())
    }

    /// Writes the request's line into the log and counts it.
    pub fn record(&self, code: &str) {
        let (route, organisation) = (self.route_name(), self.organisation_name());
        record(
            &self.context,
            &self.id,
            route,
            organisation,
            code,
            self.arrived,
        );
    }

    /// Counts the time to the first byte of the answer.
    pub fn first_byte(&self) {
        let took = self.context.clock.now() - self.arrived;
        let labels = [self.route_name(), self.organisation_name()];
        let seconds = Duration::from_millis(took.0).as_secs_f64();
        self.context
            .metrics
            .first_byte
            .with_label_values(&labels)
            .observe(seconds);
    }
}
