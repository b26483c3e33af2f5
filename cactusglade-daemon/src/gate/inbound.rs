//! A routed and authenticated request, and the reasons for refusing one.

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

/// Route and organisation in logs and metrics of a request for which they are not known.
pub const UNKNOWN_LABEL: &str = "-";

/// `Inbound` is a routed and authenticated request of any class, with its body.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// The handles and settings that request tasks share.
    pub context: Arc<Context>,
    /// The object set that was in force when the request arrived.
    pub set: Arc<Set>,
    /// Id of the request, unique over all daemons.
    pub id: String,
    /// The organisation that sent the request.
    pub organisation: arena::Organisation,
    /// The route that the request matched.
    pub route: arena::Route,
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query of the request target.
    pub path: String,
    /// The caller's idempotency key, if the request carries one.
    pub idempotency_key: Option<String>,
    /// Value of the `Content-Type` header, if the request carries one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Time of arrival on the daemon's clock.
    pub arrived: Millis,
    /// Time on the daemon's clock by which the request must be answered.
    pub deadline: Millis,
}

/// `Refusal` is an error kind with a message for the caller.
#[derive(Clone, Copy, Debug)]
pub struct Refusal(pub Kind, pub &'static str);

/// `Result` is the result of checking a request before it is dispatched.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Generates a request id that is unique over all daemons.
pub fn generate_id(daemon: &str) -> String {
    format!("{daemon}-{:016x}", rand::random::<u64>())
}

/// Returns the organisation whose API key the headers carry.
///
/// # Errors
///
/// Refuses requests whose `Authorization` header is missing, is no bearer token, or carries a key
/// of no organisation.
pub fn authenticate(set: &Set, headers: &HeaderMap) -> Result<arena::Organisation> {
    let refusal = Refusal(Kind::Unauthenticated, "a valid API key is needed");
    let value = header_text(headers, AUTHORIZATION.as_str()).ok_or(refusal)?;
    let key = value.strip_prefix("Bearer ").ok_or(refusal)?;
    set.authenticate(key.trim()).ok_or(refusal)
}

/// Returns the value of a header; `None` if it is absent or not visible ASCII.
pub fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Writes the log line of an ended request and counts the request.
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

impl Inbound {
    /// Returns the configuration object of the request's route.
    pub fn route_object(&self) -> Option<&set::Route> {
        self.set.routes.get(self.route)
    }

    /// Returns the name of the organisation that sent the request.
    pub fn organisation_name(&self) -> &str {
        self.set
            .organisations
            .get(self.organisation)
            .map_or(UNKNOWN_LABEL, |organisation| organisation.name.as_str())
    }

    /// Returns the name of the route that the request matched.
    pub fn route_name(&self) -> &str {
        self.route_object()
            .map_or(UNKNOWN_LABEL, |route| route.name.as_str())
    }

    /// Writes the request's log line with the given result code and counts the request.
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

    /// Records the time from arrival to the first byte of the response.
    pub fn observe_first_byte(&self) {
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
