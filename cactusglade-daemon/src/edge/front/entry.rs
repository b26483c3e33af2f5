//! A request that was let in, and the answers that need no upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::call::Call;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Route;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;
use cactusglade_wire::port;
use cactusglade_wire::port::Refusal;
use http_body_util::Full;
use hyper::Response;
use hyper::http::request;
use slog::info;

use super::context::Context;
use super::context::Phase;

/// Label of a request whose route or organisation is not known.
pub const NOBODY: &str = "-";

/// `Whole` is an answer that is there at once.
pub type Whole = Response<Full<Bytes>>;

/// `Entry` is a request that may go to an upstream.
#[derive(Debug)]
pub struct Entry<F> {
    /// What requests are answered with.
    pub context: Arc<Context<F>>,
    /// Head of the request as it came.
    pub head: request::Parts,
    /// The same as decisions see it.
    pub call: Call,
    /// Its prompt, for a model request.
    pub prompt: Option<Arc<Prompt>>,
    /// Body.
    pub body: Bytes,
    /// Catalog by which it is answered.
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: arena::Route,
    /// Organisation that sent it, where the route asks for a key.
    pub organisation: Option<arena::Organisation>,
    /// When it arrived, on the daemon's clock.
    pub arrived: Millis,
    /// When the caller or the route's bound ends it, on the daemon's clock.
    pub deadline: Millis,
}

impl<F: port::Codec> Entry<F> {
    /// The route's object; the key is from the catalog that the entry holds.
    pub fn object(&self) -> Option<&Route> {
        self.catalog.routes.get(self.route)
    }

    /// Name of the organisation.
    pub fn organisation_name(&self) -> Option<&str> {
        let object = self.catalog.organisations.get(self.organisation?);
        object.map(|organisation| organisation.name.as_str())
    }

    /// Rank of the request; the organisation's goes before the route's.
    pub fn rank(&self) -> Option<u64> {
        let organisation = self
            .organisation
            .map(|key| self.catalog.organisations.get(key));
        let rank = organisation
            .flatten()
            .and_then(|organisation| organisation.priority);
        rank.or_else(|| self.object().map(|route| route.priority))
    }

    /// Writes the request's line into the log and counts it.
    pub fn record(&self, code: &str, sent: u64) {
        let context = &self.context;
        let route = self.object().map_or(NOBODY, |route| route.name.as_str());
        let organisation = self.organisation_name().unwrap_or(NOBODY);
        let took = context.clock.now() - self.arrived;
        let labels = [route, organisation, code];
        context.metrics.requests.with_label_values(&labels).inc();
        info!(context.log, "request"; "id" => &self.call.id, "route" => route,
            "organisation" => organisation, "version" => self.catalog.version,
            "code" => code, "sent" => sent, "took_ms" => took.0);
    }

    /// Counts the request by whether the goal of its route was met.
    fn judge(&self, result: &str) {
        let route = self.object().map_or(NOBODY, |route| route.name.as_str());
        let organisation = self.organisation_name().unwrap_or(NOBODY);
        let goals = &self.context.metrics.goals;
        goals
            .with_label_values(&[route, organisation, result])
            .inc();
    }

    /// Counts a failure that is not the caller's doing, also after a first byte.
    pub fn failed(&self, code: &str, sent: u64) {
        self.record(code, sent);
        self.judge("failed");
    }

    /// Counts the time to the first byte of the answer.
    pub fn first_byte(&self) {
        let took = self.context.clock.now() - self.arrived;
        let route = self.object().map_or(NOBODY, |route| route.name.as_str());
        let labels = [route, self.organisation_name().unwrap_or(NOBODY)];
        let is_late = self
            .object()
            .is_some_and(|route| took > route.latency_target);
        self.judge(if is_late { "late" } else { "good" });
        let seconds = Duration::from_millis(took.0).as_secs_f64();
        let histogram = &self.context.metrics.first_byte;
        histogram.with_label_values(&labels).observe(seconds);
    }

    /// An error in answer to the request.
    pub fn refuse(&self, kind: Kind, retry_after: Option<Millis>, sent: u64) -> Whole {
        let code = kind.answer().code;
        if kind.is_caller_fault() {
            self.record(code, sent);
        } else {
            self.failed(code, sent);
        }
        let refusal = Refusal {
            kind,
            id: Some(&self.call.id),
            retry_after: retry_after.or(kind.answer().retry_after),
            closes: *self.context.phase.borrow() != Phase::Serving,
        };
        self.context.front.encode_refusal(&refusal).map(Full::new)
    }
}
