//! Admitted request: its log line, its metrics, and error answers to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::call::Call;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Route;
use cactusglade_core::errors::Kind;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_wire::port;
use cactusglade_wire::port::Refusal;
use http_body_util::Full;
use hyper::Response;
use hyper::http::request;
use slog::info;

use crate::log::Field;

use super::context::Context;
use super::context::Phase;

/// Label and log value that stands for an unknown route, organisation or request id.
pub const UNKNOWN: &str = "-";

/// `Buffered` is an answer with a buffered body.
pub type Buffered = Response<Full<Bytes>>;

/// `Entry` is an admitted request: its route is known, and its key is valid where one is needed.
#[derive(Debug)]
pub struct Entry<F> {
    /// State shared by all requests.
    pub context: Arc<Context<F>>,
    /// Head of the request as received.
    pub head: request::Parts,
    /// Decoded head of the request.
    pub call: Call,
    /// Prompt of a model request.
    pub prompt: Option<Arc<Prompt>>,
    /// Body of the request.
    pub body: Bytes,
    /// Catalog that was in force when the request was admitted.
    pub catalog: Arc<Catalog>,
    /// Key of the route in the catalog.
    pub route: arena::Route,
    /// Organisation that sent the request, where its key names one.
    pub organisation: Option<arena::Organisation>,
    /// Time of arrival on the daemon's clock.
    pub arrived: Millis,
    /// Deadline on the daemon's clock: the earlier of the route's and the caller's.
    pub deadline: Millis,
}

impl<F: port::Codec> Entry<F> {
    /// Returns the route, looked up in the request's own catalog.
    pub fn catalog_route(&self) -> Option<&Route> {
        self.catalog.routes.get(self.route)
    }

    /// Returns the name of the organisation, where it is known.
    pub fn organisation_name(&self) -> Option<&str> {
        let organisation = self.catalog.organisations.get(self.organisation?);
        organisation.map(|found| found.name.as_str())
    }

    /// Returns the priority of the request; the organisation's overrides the route's.
    pub fn priority(&self) -> Option<u64> {
        let organisation = self
            .organisation
            .map(|key| self.catalog.organisations.get(key));
        let priority = organisation
            .flatten()
            .and_then(|organisation| organisation.priority);
        priority.or_else(|| self.catalog_route().map(|route| route.priority))
    }

    /// Logs the end of a request that this system did not refuse, and counts it.
    pub fn record(&self, code: &str, sent: u64) {
        self.record_end(code, None, sent);
    }

    /// Logs the end of the request and counts it, also as a refusal where it has a reason.
    fn record_end(&self, code: &str, reason: Option<Reason>, sent: u64) {
        let context = &self.context;
        let route = self
            .catalog_route()
            .map_or(UNKNOWN, |route| route.name.as_str());
        let organisation = self.organisation_name().unwrap_or(UNKNOWN);
        let duration = context.clock.now() - self.arrived;
        let labels = [route, organisation, code];
        context.metrics.requests.with_label_values(&labels).inc();
        if let Some(reason) = reason {
            context.metrics.count_refusal(route, reason);
        }
        info!(context.log, "request"; "id" => &self.call.id, "route" => route,
            "organisation" => organisation, "version" => self.catalog.version,
            "code" => code, "reason" => Field(reason.map(Reason::as_str)), "sent" => sent,
            "took_ms" => duration.0);
    }

    /// Counts the request as `good`, `late` or `failed` by its route's latency target.
    fn count_goal(&self, result: &str) {
        let route = self
            .catalog_route()
            .map_or(UNKNOWN, |route| route.name.as_str());
        let organisation = self.organisation_name().unwrap_or(UNKNOWN);
        let goals = &self.context.metrics.goals;
        goals
            .with_label_values(&[route, organisation, result])
            .inc();
    }

    /// Logs and counts a request that failed through no fault of the caller, also after the first
    /// byte of the answer; `reason` says why this system sent it no further, where it decided that.
    pub fn record_failure(&self, code: &str, reason: Option<Reason>, sent: u64) {
        self.record_end(code, reason, sent);
        self.count_goal("failed");
    }

    /// Records the time to the first byte of the answer, and whether it met the latency target.
    pub fn record_first_byte(&self) {
        let duration = self.context.clock.now() - self.arrived;
        let route = self
            .catalog_route()
            .map_or(UNKNOWN, |route| route.name.as_str());
        let labels = [route, self.organisation_name().unwrap_or(UNKNOWN)];
        let is_late = self
            .catalog_route()
            .is_some_and(|route| duration > route.latency_target);
        self.count_goal(if is_late { "late" } else { "good" });
        let seconds = Duration::from_millis(duration.0).as_secs_f64();
        let histogram = &self.context.metrics.first_byte;
        histogram.with_label_values(&labels).observe(seconds);
    }

    /// Logs and counts the request as ended by an error, and returns the error answer.
    pub fn refuse(
        &self,
        kind: Kind,
        reason: Option<Reason>,
        retry_after: Option<Millis>,
        sent: u64,
    ) -> Buffered {
        let code = kind.answer().code;
        if kind.is_caller_fault() {
            self.record_end(code, reason, sent);
        } else {
            self.record_failure(code, reason, sent);
        }
        let refusal = Refusal {
            kind,
            id: Some(&self.call.id),
            retry_after: retry_after.or(kind.answer().retry_after),
            closes: *self.context.phase.borrow() != Phase::Serving,
        };
        self.context.codec.encode_refusal(&refusal).map(Full::new)
    }
}
