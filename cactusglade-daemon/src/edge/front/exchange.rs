//! All attempts to have one request answered: the choice of upstreams, retries, and the error
//! answer where none succeeds.

use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;
use cactusglade_policy::attempt::Attempt;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;
use cactusglade_wire::port;
use kameo::error::SendError;
use slog::info;

use crate::edge::broker::Place;
use crate::edge::broker::Placement;
use crate::edge::broker::Refund;
use crate::edge::broker::Refused;

use super::entry::Entry;
use super::entry::Whole;
use super::sending;
use super::sending::Held;
use super::sending::Reached;

/// Time without an answer after which a repeatable request is sent to another upstream, as a
/// multiple of its route's goal.
const SILENT_GOALS: u64 = 2;
/// Upper bound of the same time, in percent of the time left until the deadline, so that the other
/// upstream has time to answer: a short request takes some tens of milliseconds, and one with a
/// prompt a tenth of a second.
const SILENT_PART: u64 = 60;

/// `Stop` is the end of an exchange without an answer from an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// What to do instead of another attempt.
    pub next: Next,
    /// Time after which a retry by the caller may succeed, where it is known.
    pub retry_after: Option<Millis>,
}

/// `Exchange` is the state of one request across its attempts.
#[derive(Debug)]
pub struct Exchange<F> {
    /// Admitted request.
    pub entry: Arc<Entry<F>>,
    /// Policy that decides on retries from the outcomes so far.
    pub attempt: Attempt,
    tried: Vec<arena::Upstream>,
    is_charged: bool,
}

impl<F: port::Codec> Exchange<F> {
    /// Starts with a request that was not sent yet.
    pub fn new(entry: Arc<Entry<F>>) -> Self {
        let object = entry.object();
        let repeat = object.map_or(cactusglade_core::catalog::Semantics::AtMostOnce, |route| {
            route.semantics
        });
        let most = object.map_or(1, |route| route.max_attempts);
        Self {
            attempt: Attempt::new(repeat, most),
            entry,
            tried: Vec::new(),
            is_charged: false,
        }
    }

    /// Sends the request until an upstream begins to answer it.
    ///
    /// # Errors
    ///
    /// Returns how the exchange ends where no upstream answers.
    pub async fn reach(&mut self, last_event: Option<u64>) -> Result<Reached, Stop> {
        loop {
            let placement = self.place().await?;
            let until = self.silence();
            match sending::send(&self.entry, placement, last_event, until).await {
                Ok(reached) => return Ok(reached),
                Err((outcome, held)) => self.failed(outcome, held)?,
            }
        }
    }

    /// Records the outcome of an attempt that failed.
    ///
    /// # Errors
    ///
    /// Returns how the exchange ends where the request is not sent again.
    pub fn failed(&mut self, outcome: Outcome, held: Held) -> Result<(), Stop> {
        let next = self.attempt.ended(outcome);
        let is_over = self.entry.context.clock.now() >= self.entry.deadline;
        let next = match next {
            Next::Give(_) if is_over => self.attempt.last(Kind::DeadlineExceeded),
            next => next,
        };
        self.note(outcome, next, &held.name);
        self.tried.push(held.upstream());
        held.fail(outcome);
        match next {
            Next::Again => Ok(()),
            next => Err(Stop {
                next,
                retry_after: None,
            }),
        }
    }

    /// Logs and counts an attempt that failed.
    fn note(&self, outcome: Outcome, next: Next, upstream: &str) {
        let metrics = &self.entry.context.metrics;
        metrics.sendings.with_label_values(&[label(outcome)]).inc();
        info!(self.entry.context.log, "sending_failed"; "id" => &self.entry.call.id,
            "upstream" => upstream, "outcome" => ?outcome, "next" => ?next,
            "sent" => self.attempt.sent());
    }

    /// Returns the error answer to the caller where no upstream answered, and refunds the request.
    pub fn stop(&self, stop: Stop) -> Whole {
        let kind = match stop.next {
            Next::Give(kind) => kind,
            // The upstream's failure was not kept, or part of the answer was already sent.
            Next::Again | Next::Pass | Next::Abort => Kind::UpstreamLost,
        };
        self.refund(kind);
        self.entry
            .refuse(kind, stop.retry_after, self.attempt.sent())
    }

    /// Refunds the organisation's quota units where the request did not run.
    fn refund(&self, kind: Kind) {
        let was_charged = self.is_charged && kind != Kind::LimitExceeded;
        if !was_charged || self.attempt.may_have_run() {
            return;
        }
        let refund = Refund {
            organisation: self.entry.organisation,
            prompt: self.entry.prompt.clone(),
        };
        let broker = self.entry.context.broker.clone();
        tokio::spawn(async move {
            // Fails only while the daemon stops.
            let _ = broker.tell(refund).await;
        });
    }

    async fn place(&mut self) -> Result<Placement, Stop> {
        let entry = &self.entry;
        if entry.context.clock.now() >= entry.deadline {
            return Err(self.last(Kind::Expired, None));
        }
        let place = Place {
            route: entry.route,
            organisation: entry.organisation,
            prompt: entry.prompt.clone(),
            tried: self.tried.clone(),
            is_first: !self.is_charged,
            is_repeat: self.attempt.is_repeat(),
            runs_once: !entry
                .object()
                .is_some_and(|route| route.semantics.is_retryable()),
        };
        self.is_charged = true;
        match entry.context.broker.ask(place).await {
            Ok(placement) => {
                self.log_placement(&placement);
                Ok(placement)
            }
            Err(SendError::HandlerError(Refused { kind, retry_after })) => {
                Err(self.last(kind, retry_after))
            }
            // The broker has stopped, so the daemon is stopping.
            Err(_) => Err(self.last(Kind::Draining, None)),
        }
    }

    /// Logs the choice of an upstream.
    fn log_placement(&self, placement: &Placement) {
        let basis = placement.grant.basis;
        let age = basis.load_age.map(|age| age.0);
        info!(self.entry.context.log, "placed"; "id" => &self.entry.call.id,
            "upstream" => &placement.name, "candidates" => basis.candidates,
            "load" => basis.load, "load_age_ms" => age, "uncached" => placement.grant.uncached,
            "kept_connection" => placement.connection.is_some(), "sent" => self.attempt.sent(),
            "version" => self.entry.catalog.version);
    }

    fn last(&self, kind: Kind, retry_after: Option<Millis>) -> Stop {
        let stop = Stop {
            next: self.attempt.last(kind),
            retry_after,
        };
        info!(self.entry.context.log, "not_placed"; "id" => &self.entry.call.id,
            "kind" => ?kind, "next" => ?stop.next, "tried" => self.tried.len());
        stop
    }

    /// Returns the time until which the upstream must answer: the deadline of the request, or an
    /// earlier time where the request can still be sent to another upstream.
    pub fn silence(&self) -> Millis {
        let object = self.entry.object();
        let goal = object.map_or(Millis(0), |route| route.latency_target);
        let may_move = object.is_some_and(|route| route.semantics.is_retryable())
            && self.attempt.sent() + 1 < object.map_or(0, |route| route.max_attempts);
        if may_move {
            let now = self.entry.context.clock.now();
            let part = Millis((self.entry.deadline - now).0 * SILENT_PART / 100);
            now + part.min(Millis(goal.0 * SILENT_GOALS))
        } else {
            self.entry.deadline
        }
    }
}

/// Returns the label of an attempt's outcome in the metrics.
const fn label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Unsent => "unsent",
        Outcome::Misdirected => "misdirected",
        Outcome::Unrun => "unrun",
        Outcome::Lost => "lost",
        Outcome::Failed { .. } => "failed",
        Outcome::Broken => "broken",
    }
}
