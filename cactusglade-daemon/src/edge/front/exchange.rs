//! The sendings of one request: where it goes next, and what its caller is told at last.

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
use crate::edge::broker::Placed;
use crate::edge::broker::Refund;
use crate::edge::broker::Refused;

use super::entry::Entry;
use super::entry::Whole;
use super::sending;
use super::sending::Held;
use super::sending::Reached;

/// Silence after which a repeatable request is sent elsewhere, as a multiple of its objective.
const SILENT_GOALS: u64 = 2;
/// The same as a part of the time that is left, in hundredths, so that the other upstream has time
/// to answer; short requests take some tens of milliseconds, and a tenth of a second with a prompt.
const SILENT_PART: u64 = 60;

/// `Stop` is how an exchange ends without an answer of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// What to do.
    pub next: Next,
    /// Time after which coming back may help, where that is known.
    pub retry_after: Option<Millis>,
}

/// `Exchange` remembers what was done with one request.
#[derive(Debug)]
pub struct Exchange<F> {
    /// The request.
    pub entry: Arc<Entry<F>>,
    /// What follows from what was done.
    pub attempt: Attempt,
    tried: Vec<arena::Upstream>,
    is_charged: bool,
}

impl<F: port::Codec> Exchange<F> {
    /// Starts with a request that was sent to nobody.
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
    /// Returns how the exchange ends where none does.
    pub async fn reach(&mut self, last_event: Option<u64>) -> Result<Reached, Stop> {
        loop {
            let placed = self.place().await?;
            let until = self.silence();
            match sending::send(&self.entry, placed, last_event, until).await {
                Ok(reached) => return Ok(reached),
                Err((outcome, held)) => self.failed(outcome, held)?,
            }
        }
    }

    /// Notes that a sending ended like this.
    ///
    /// # Errors
    ///
    /// Returns how the exchange ends where the request is not sent again.
    pub fn failed(&mut self, outcome: Outcome, held: Held) -> Result<(), Stop> {
        let next = self.attempt.record_failure(outcome);
        let is_over = self.entry.context.clock.now() >= self.entry.deadline;
        let next = match next {
            Next::Fail(_) if is_over => self.attempt.give_up(Kind::DeadlineExceeded),
            next => next,
        };
        self.note(outcome, next, &held.name);
        self.tried.push(held.upstream());
        held.fail(outcome);
        match next {
            Next::Retry => Ok(()),
            next => Err(Stop {
                next,
                retry_after: None,
            }),
        }
    }

    /// Writes the line of a sending that was not answered well into the log.
    fn note(&self, outcome: Outcome, next: Next, upstream: &str) {
        let metrics = &self.entry.context.metrics;
        metrics.sendings.with_label_values(&[label(outcome)]).inc();
        info!(self.entry.context.log, "sending_failed"; "id" => &self.entry.call.id,
            "upstream" => upstream, "outcome" => ?outcome, "next" => ?next,
            "sent" => self.attempt.sent());
    }

    /// The answer to the caller where no upstream gave one.
    pub fn stop(&self, stop: Stop) -> Whole {
        let kind = match stop.next {
            Next::Fail(kind) => kind,
            // The upstream's failure was not kept, or part of the answer went out.
            Next::Retry | Next::Forward | Next::Abort => Kind::UpstreamLost,
        };
        self.refund(kind);
        self.entry
            .refuse(kind, stop.retry_after, self.attempt.sent())
    }

    /// Gives the organisation back what a request was charged that did not run.
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
            // The broker ends before this task only when the daemon does.
            let _ = broker.tell(refund).await;
        });
    }

    async fn place(&mut self) -> Result<Placed, Stop> {
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
            is_repeat: self.attempt.is_retry(),
            once: !entry
                .object()
                .is_some_and(|route| route.semantics.is_retryable()),
        };
        self.is_charged = true;
        match entry.context.broker.ask(place).await {
            Ok(placed) => {
                self.placed(&placed);
                Ok(placed)
            }
            Err(SendError::HandlerError(Refused { kind, retry_after })) => {
                Err(self.last(kind, retry_after))
            }
            // The broker ends before this task only when the daemon does.
            Err(_) => Err(self.last(Kind::Draining, None)),
        }
    }

    /// Writes the line of a choice into the log.
    fn placed(&self, placed: &Placed) {
        let basis = placed.grant.basis;
        let age = basis.load_age.map(|age| age.0);
        info!(self.entry.context.log, "placed"; "id" => &self.entry.call.id,
            "upstream" => &placed.name, "candidates" => basis.candidates,
            "load" => basis.load, "load_age_ms" => age, "uncached" => placed.grant.uncached,
            "kept_connection" => placed.connection.is_some(), "sent" => self.attempt.sent(),
            "version" => self.entry.catalog.version);
    }

    fn last(&self, kind: Kind, retry_after: Option<Millis>) -> Stop {
        let stop = Stop {
            next: self.attempt.give_up(kind),
            retry_after,
        };
        info!(self.entry.context.log, "not_placed"; "id" => &self.entry.call.id,
            "kind" => ?kind, "next" => ?stop.next, "tried" => self.tried.len());
        stop
    }

    /// Until when an upstream may stay silent: while the request can go elsewhere, not to the end.
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

/// Label of a sending in the metrics.
const fn label(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Unsent => "unsent",
        Outcome::Misdirected => "misdirected",
        Outcome::NotRun => "unrun",
        Outcome::Lost => "lost",
        Outcome::Failed { .. } => "failed",
        Outcome::Broken => "broken",
    }
}
