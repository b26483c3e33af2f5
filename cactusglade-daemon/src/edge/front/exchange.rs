//! All attempts to have one request answered: the choice of upstreams, retries, and the error
//! answer where none succeeds.

use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::attempt::Attempt;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;
use cactusglade_policy::silence::Wait;
use cactusglade_wire::port;
use kameo::error::SendError;
use slog::info;

use crate::edge::broker::Later;
use crate::edge::broker::Place;
use crate::edge::broker::Placed;
use crate::edge::broker::Placement;
use crate::edge::broker::Refund;
use crate::edge::broker::Refused;
use crate::edge::broker::Span;
use crate::log::Field;

use super::entry::Buffered;
use super::entry::Entry;
use super::sending;
use super::sending::Fault;
use super::sending::Reservation;
use super::sending::Started;
use super::silence::Timer;

/// Time without an answer after which a retryable request is sent to another upstream, as a
/// multiple of its route's latency target.
const MAX_SILENCE_TARGETS: u64 = 2;
/// Upper bound of the time without an answer, in percent of the time left until the deadline, so
/// that the other upstream has time to answer: a short request takes some tens of milliseconds, and
/// one with a prompt a tenth of a second.
const MAX_SILENCE_PERCENT: u64 = 60;

/// `Ending` is the end of an exchange without an answer from an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ending {
    /// What to do instead of another attempt.
    pub next: Next,
    /// Time after which a retry by the caller may succeed, where it is known.
    pub retry_after: Option<Millis>,
    /// Why this system sent the request no further, where that was its own decision.
    pub reason: Option<Reason>,
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
        let route = entry.catalog_route();
        let semantics = route.map_or(cactusglade_core::catalog::Semantics::AtMostOnce, |route| {
            route.semantics
        });
        let max_attempts = route.map_or(1, |route| route.max_attempts);
        Self {
            attempt: Attempt::new(semantics, max_attempts),
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
    pub async fn send(&mut self, last_event: Option<u64>) -> Result<Started, Ending> {
        loop {
            let placement = self.place().await?;
            let timer = self.timer();
            match sending::send(&self.entry, placement, last_event, timer).await {
                Ok(started) => return Ok(started),
                Err((fault, reservation)) => self.handle_failure(fault, reservation)?,
            }
        }
    }

    /// Records the outcome of an attempt that failed.
    ///
    /// # Errors
    ///
    /// Returns how the exchange ends where the request is not sent again.
    pub fn handle_failure(&mut self, fault: Fault, reservation: Reservation) -> Result<(), Ending> {
        let next = self.attempt.record_failure(fault.outcome);
        let is_expired = self.entry.context.clock.now() >= self.entry.deadline;
        let next = match next {
            Next::Give(_) if is_expired => self.attempt.give_up(Kind::DeadlineExceeded),
            next => next,
        };
        self.log_failure(fault, next, &reservation);
        self.tried.push(reservation.upstream());
        reservation.fail(fault);
        match next {
            Next::Again => Ok(()),
            next => Err(Ending {
                next,
                retry_after: None,
                reason: match next {
                    Next::Give(kind) => Reason::implied(kind),
                    Next::Again | Next::Pass | Next::Abort => None,
                },
            }),
        }
    }

    /// Logs and counts an attempt that failed.
    fn log_failure(&self, fault: Fault, next: Next, reservation: &Reservation) {
        let metrics = &self.entry.context.metrics;
        metrics
            .failed_sendings
            .with_label_values(&[label(fault.outcome)])
            .inc();
        let prompt = self.entry.prompt.as_ref().filter(|_| fault.is_cut);
        let parts = prompt.map(|prompt| prompt.shared_ids());
        info!(self.entry.context.log, "sending_failed"; "id" => &self.entry.call.id,
            "upstream" => &reservation.name, "outcome" => ?fault.outcome, "next" => ?next,
            "sent" => self.attempt.sent(), "cut" => fault.is_cut, "flood" => fault.is_flood,
            "explained" => fault.is_explained, "events" => reservation.events,
            "parts" => parts);
    }

    /// Returns the error answer to the caller where no upstream answered, and refunds the request.
    pub fn error_answer(&self, ending: Ending) -> Buffered {
        let kind = match ending.next {
            Next::Give(kind) => kind,
            // The upstream's error answer was not kept, or part of the answer was already sent.
            Next::Again | Next::Pass | Next::Abort => Kind::UpstreamLost,
        };
        self.refund();
        let sent = self.attempt.sent();
        self.entry
            .refuse(kind, ending.reason, ending.retry_after, sent)
    }

    /// Refunds the organisation's quota units where the request did not run.
    fn refund(&self) {
        if !self.is_charged || self.attempt.may_have_run() {
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

    /// Asks the broker for an upstream, and once more where the request has to wait for the trial of
    /// its prompt.
    async fn place(&mut self) -> Result<Placement, Ending> {
        let placed = match self.try_place().await {
            Err(Refused {
                trial: Some(at), ..
            }) if at < self.entry.deadline => {
                info!(self.entry.context.log, "trial_claimed"; "id" => &self.entry.call.id);
                tokio::time::sleep_until(self.entry.context.clock.instant(at)).await;
                self.try_place().await
            }
            placed => placed,
        };
        match placed {
            Ok(placement) => {
                self.log_placement(&placement);
                Ok(placement)
            }
            Err(refused) => Err(self.give_up(&refused)),
        }
    }

    async fn try_place(&mut self) -> Result<Placement, Refused> {
        let entry = &self.entry;
        if entry.context.clock.now() >= entry.deadline {
            return Err(Kind::Expired.into());
        }
        let may_wait = !self.is_charged && entry.call.last_event.is_none();
        let place = Place {
            route: entry.route,
            organisation: entry.organisation,
            prompt: entry.prompt.clone(),
            tried: self.tried.clone(),
            is_first: !self.is_charged,
            is_retry: self.attempt.is_retry(),
            runs_once: !entry
                .catalog_route()
                .is_some_and(|route| route.semantics.is_retryable()),
            wait: may_wait.then_some(Span {
                arrived: entry.arrived,
                deadline: entry.deadline,
            }),
        };
        let placed = match entry.context.broker.ask(place).await {
            Ok(Placed::Now(placement)) => Ok(placement),
            Ok(Placed::Later(later)) => {
                self.log_deferral(&later);
                later.wait().await
            }
            Err(SendError::HandlerError(refused)) => Err(refused),
            // The broker has stopped, so the daemon is stopping.
            Err(_) => Err(Kind::Draining.into()),
        };
        self.is_charged |= match &placed {
            Ok(_) => true,
            Err(refused) => refused.is_charged,
        };
        placed
    }

    /// Logs that the request waits for room.
    fn log_deferral(&self, later: &Later) {
        let route = self.entry.catalog_route();
        info!(self.entry.context.log, "request_deferred"; "id" => &self.entry.call.id,
            "route" => Field(route.map(|route| route.name.as_str())),
            "expected_ms" => Field(later.expected.map(|wait| wait.0)));
    }

    /// Logs the choice of an upstream.
    fn log_placement(&self, placement: &Placement) {
        let basis = placement.grant.basis;
        let age = basis.load_age.map(|age| age.0);
        if let Some(age) = basis.load_age.filter(|_| basis.is_estimated) {
            let metrics = &self.entry.context.metrics;
            let age = Duration::from_millis(age.0);
            metrics.load_age.observe(age.as_secs_f64());
        }
        info!(self.entry.context.log, "placed"; "id" => &self.entry.call.id,
            "upstream" => &placement.name, "candidates" => basis.candidates,
            "load" => basis.load, "load_age_ms" => age, "estimated" => basis.is_estimated,
            "limit_per_s" => basis.limit.map(Rate::per_second), "pace" => basis.pace,
            "rank" => Field(basis.rank), "backlog" => basis.backlog,
            "uncached" => placement.grant.uncached,
            "kept_connection" => placement.connection.is_some(), "sent" => self.attempt.sent(),
            "waited_ms" => Field(placement.waited.map(|waited| waited.0)),
            "version" => self.entry.catalog.version);
    }

    /// Ends the exchange because the request can't be placed at an upstream.
    fn give_up(&self, refused: &Refused) -> Ending {
        let (kind, retry_after) = (refused.kind, refused.retry_after);
        let ending = Ending {
            next: self.attempt.give_up(kind),
            retry_after,
            reason: refused.reason,
        };
        let prompt = self.entry.prompt.as_ref();
        let parts = prompt.filter(|_| kind == Kind::Quarantined);
        info!(self.entry.context.log, "not_placed"; "id" => &self.entry.call.id,
            "kind" => ?kind, "reason" => Field(refused.reason.map(Reason::as_str)),
            "next" => ?ending.next, "tried" => self.tried.len(),
            "parts" => parts.map(|prompt| prompt.shared_ids()));
        ending
    }

    /// Returns the time until which the upstream must answer: the deadline of the request, or an
    /// earlier time where the request can still be sent to another upstream.
    pub fn answer_deadline(&self) -> Millis {
        let route = self.entry.catalog_route();
        let target = route.map_or(Millis(0), |route| route.latency_target);
        let now = self.entry.context.clock.now();
        let max_silence = Millis(target.0 * MAX_SILENCE_TARGETS);
        if self.can_retry() {
            self.latest_answer(now).min(now + max_silence)
        } else {
            self.entry.deadline
        }
    }

    /// Returns the time up to which the load of the upstream may extend the wait for its answer.
    fn latest_answer(&self, now: Millis) -> Millis {
        let remaining = self.entry.deadline - now;
        if self.can_retry() {
            now + Millis(remaining.0 * MAX_SILENCE_PERCENT / 100)
        } else {
            self.entry.deadline
        }
    }

    /// Returns whether the request can be sent to another upstream if the next one doesn't answer.
    fn can_retry(&self) -> bool {
        self.entry.catalog_route().is_some_and(|route| {
            route.semantics.is_retryable() && self.attempt.sent() + 1 < route.max_attempts
        })
    }

    /// Starts the wait for the answer to an attempt.
    fn timer(&self) -> Timer {
        let route = self.entry.catalog_route();
        let sent_at = self.entry.context.clock.now();
        let wait = Wait {
            sent_at,
            target: route.map_or(Millis(0), |route| route.latency_target),
            latest: self.latest_answer(sent_at),
        };
        Timer::new(self.answer_deadline(), wait)
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
