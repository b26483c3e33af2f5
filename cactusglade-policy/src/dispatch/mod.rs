//! Admits requests, schedules them fairly, and assigns each an upstream.
//!
//! One [`Dispatch`] is owned by one task of a daemon. Its methods take events and append actions to
//! a list, which the owner carries out. See `docs/DESIGN.md`.

mod grant;
mod ticket;
mod trial;
mod version;

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::set::Set;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use slotmap::SlotMap;

use crate::choice::Strategy;
use crate::fair::Queue;
use crate::limit::Bucket;
use crate::pool::Need;
use crate::pool::Pool;
use crate::retry::Budget;

pub use ticket::Cause;
pub use ticket::Grant;
pub use ticket::Report;
pub use ticket::Submission;
pub use ticket::Verdict;
pub use trial::Arm;
pub use trial::Trial;

use ticket::Phase;
use ticket::Ticket;

/// Maximum number of attempts per request, not counting moves off a leaving upstream.
const MAX_ATTEMPTS: u32 = 4;
/// Time before the end of a leaving upstream at which its streams are moved.
const MOVE_MARGIN: Millis = Millis(1_500);

/// `Action` is an action that the owner of the dispatch must carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to an upstream.
    Grant(Grant),
    /// Refuse the request; its ticket is closed.
    Refuse(arena::Ticket, Kind),
    /// Move the running request to another upstream, since its own is leaving.
    Move(arena::Ticket),
    /// Publish a veto against the new version of the rollout.
    Veto(arena::Rollout),
}

/// `Counters` holds totals since the start, for metrics and tests of invariants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Number of requests admitted.
    pub admitted: u64,
    /// Number of requests refused by the dispatch.
    pub refused: u64,
    /// Number of attempts granted.
    pub granted: u64,
    /// Number of attempts after the first of each request, including moves.
    pub retried: u64,
    /// Number of attempts moved off a leaving upstream.
    pub moved: u64,
    /// Number of attempts granted on a leaving upstream; must stay zero.
    pub granted_leaving: u64,
}

/// `Dispatch` holds the state of all requests of a daemon.
#[derive(Debug)]
pub struct Dispatch<R: Strategy> {
    set: Arc<Set>,
    strategy: R,
    pool: Pool,
    queues: BTreeMap<Need, Queue<arena::Ticket>>,
    tickets: SlotMap<arena::Ticket, Ticket>,
    trials: BTreeMap<arena::Rollout, Trial>,
    /// Moves and vetoes by rollout and deadline, including rollouts not yet in the object set.
    rollout_records: BTreeMap<(String, Millis), Trial>,
    buckets: BTreeMap<arena::Organisation, Bucket>,
    usage: BTreeMap<arena::Organisation, u64>,
    leaving: BTreeMap<arena::Upstream, Millis>,
    budget: Budget,
    waiting: usize,
    max_waiting: usize,
    counters: Counters,
    actions: Vec<Action>,
}

impl<R: Strategy> Dispatch<R> {
    /// Creates a dispatch without an object set, for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: &str, strategy: R, max_waiting: usize) -> Self {
        Self {
            set: Arc::default(),
            strategy,
            pool: Pool::new(zone),
            queues: BTreeMap::new(),
            tickets: SlotMap::with_key(),
            trials: BTreeMap::new(),
            rollout_records: BTreeMap::new(),
            buckets: BTreeMap::new(),
            usage: BTreeMap::new(),
            leaving: BTreeMap::new(),
            budget: Budget::default(),
            waiting: 0,
            max_waiting,
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the totals since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns whether a call of [`tick`](Self::tick) may produce actions.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.waiting > 0 || !self.leaving.is_empty()
    }

    /// Returns the object set in force.
    #[must_use]
    pub const fn set(&self) -> &Arc<Set> {
        &self.set
    }

    /// Returns the state of the upstreams.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the tokens served since the start, by organisation.
    #[must_use]
    pub const fn usage(&self) -> &BTreeMap<arena::Organisation, u64> {
        &self.usage
    }

    /// Returns the trials of the rollouts in progress.
    #[must_use]
    pub const fn trials(&self) -> &BTreeMap<arena::Rollout, Trial> {
        &self.trials
    }

    /// Replaces the object set if the given one has a greater generation.
    ///
    /// Returns whether the set was replaced.
    pub fn adopt(&mut self, now: Millis, unix: Millis, set: Arc<Set>) -> bool {
        if set.generation <= self.set.generation && self.set.generation != Generation(0) {
            return false;
        }
        self.set = set;
        self.pool.adopt(&self.set);
        let rollouts = self
            .set
            .rollouts
            .iter()
            .map(|(key, _)| key)
            .collect::<Vec<_>>();
        self.trials.retain(|key, _| rollouts.contains(key));
        for key in rollouts {
            self.trials.entry(key).or_default();
        }
        self.update_trials();
        for (key, organisation) in self.set.organisations.iter() {
            self.buckets
                .entry(key)
                .or_default()
                .set_rate(organisation.meta.tokens_per_second);
            for queue in self.queues.values_mut() {
                queue.set_weight(key, organisation.meta.weight);
            }
        }
        self.grant_all(now, unix);
        true
    }

    /// Admits a request, or refuses it through an action, and returns its ticket.
    pub fn submit(&mut self, now: Millis, unix: Millis, submission: Submission) -> arena::Ticket {
        let refusal = self.refusal(now, &submission);
        let (organisation, cost) = (submission.organisation, submission.cost);
        let ticket = self.tickets.insert(Ticket::new(submission));
        if let Some(kind) = refusal {
            self.refuse(ticket, kind);
            return ticket;
        }
        self.counters.admitted += 1;
        self.budget.deposit();
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.charge(i64::try_from(cost).unwrap_or(i64::MAX));
        }
        self.enqueue(unix, ticket, false);
        self.grant_all(now, unix);
        ticket
    }

    /// Records that an attempt ended without an answer, and retries or refuses the request.
    pub fn retry(&mut self, now: Millis, unix: Millis, key: arena::Ticket, cause: Cause) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(upstream) = ticket.stop() else {
            return;
        };
        ticket.has_progress |= cause.has_progress();
        ticket.may_have_run |= cause != Cause::Refused;
        if cause != Cause::Leaving {
            ticket.attempts += 1;
            ticket.tried.push(upstream);
        }
        let exhausted = ticket.attempts >= MAX_ATTEMPTS;
        self.release(now, upstream, cause.is_fault(), self.draw(key));
        self.counters.moved += u64::from(cause == Cause::Leaving);
        self.record_fault(key, cause);
        let allowed = cause == Cause::Leaving || (!exhausted && self.budget.withdraw());
        if allowed {
            self.counters.retried += 1;
            self.enqueue(unix, key, true);
        } else {
            self.refuse(key, cause.kind());
        }
        self.grant_all(now, unix);
    }

    /// Closes a ticket and records the result of the request.
    pub fn finish(&mut self, now: Millis, unix: Millis, key: arena::Ticket, report: Report) {
        let Some(mut ticket) = self.tickets.remove(key) else {
            return;
        };
        if ticket.phase == Phase::Waiting {
            self.remove_waiting(key, &ticket);
        }
        let version = ticket.version();
        if let Some(upstream) = ticket.stop() {
            self.release(
                now,
                upstream,
                report.verdict == Verdict::Fault,
                ticket.submission.draw,
            );
            if let Some(state) = self.pool.get_mut(upstream)
                && let Some(first_token) = report.first_token
            {
                state.record_first_token(first_token);
            }
        }
        self.settle(&ticket, report.tokens);
        if let Some(version) = version {
            self.record_verdict(&ticket, version, report.verdict);
        }
        self.grant_all(now, unix);
    }

    /// Closes the ticket of a request whose caller disconnected.
    ///
    /// The request is charged the estimated cost of its grants, so that disconnecting early doesn't
    /// make it free.
    pub fn abandon(&mut self, now: Millis, unix: Millis, key: arena::Ticket) {
        let charged = self.tickets.get(key).map_or(0, |ticket| ticket.charged);
        let report = Report {
            verdict: Verdict::Neutral,
            tokens: charged,
            first_token: None,
        };
        self.finish(now, unix, key, report);
    }

    /// Marks an upstream incarnation as leaving; it ends at `gone`.
    ///
    /// Returns whether the object set has it and it was not marked before.
    pub fn mark_leaving(
        &mut self,
        now: Millis,
        name: &str,
        incarnation: u64,
        gone: Millis,
    ) -> bool {
        let Some(key) = self.pool.mark_leaving(&self.set, name, incarnation) else {
            return false;
        };
        self.leaving.insert(key, gone);
        self.move_leaving(now);
        true
    }

    /// Charges tokens that another daemon served to an organisation.
    pub fn charge_remote(&mut self, organisation: &str, tokens: u64) {
        let Some(key) = self.set.organisations.find(organisation) else {
            return;
        };
        for queue in self.queues.values_mut() {
            queue.charge_remote(key, tokens);
        }
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.charge(i64::try_from(tokens).unwrap_or(i64::MAX));
        }
    }

    /// Refuses queued requests past their deadline, and moves streams off upstreams about to end.
    pub fn tick(&mut self, now: Millis, unix: Millis) {
        let is_expired =
            |ticket: &Ticket| ticket.phase == Phase::Waiting && now >= ticket.submission.deadline;
        let expired = self.tickets.iter().filter(|(_, ticket)| is_expired(ticket));
        let expired = expired
            .map(|(key, ticket)| (key, ticket.expiry_kind()))
            .collect::<Vec<_>>();
        for (key, kind) in expired {
            if let Some(ticket) = self.tickets.get(key).cloned() {
                self.remove_waiting(key, &ticket);
            }
            self.refuse(key, kind);
        }
        self.move_leaving(now);
        self.grant_all(now, unix);
    }

    fn refusal(&mut self, now: Millis, submission: &Submission) -> Option<Kind> {
        let Some(route) = self.set.routes.get(submission.route) else {
            return Some(Kind::NotReady);
        };
        let needs = self.needs(route.target);
        if !needs
            .into_iter()
            .flatten()
            .any(|need| self.pool.serves(need))
        {
            return Some(Kind::NoUpstream);
        }
        let bucket = self.buckets.get_mut(&submission.organisation)?;
        if !bucket.allows(now) {
            return Some(Kind::LimitExceeded);
        }
        (self.waiting >= self.max_waiting).then_some(Kind::Overloaded)
    }

    fn refuse(&mut self, key: arena::Ticket, kind: Kind) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        self.settle(&ticket, 0);
        self.counters.refused += 1;
        self.actions
            .push(Action::Refuse(key, ticket.refusal_kind(kind)));
    }

    /// Replaces the estimated cost by the real one.
    fn settle(&mut self, ticket: &Ticket, tokens: u64) {
        let organisation = ticket.submission.organisation;
        *self.usage.entry(organisation).or_default() += tokens;
        let Some(need) = ticket.need else { return };
        let signed = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        // The queue charges each grant, the rate limit charges the arrival.
        if let Some(queue) = self.queues.get_mut(&need) {
            queue.correct(organisation, signed(tokens) - signed(ticket.charged));
        }
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.charge(signed(tokens) - signed(ticket.submission.cost));
        }
    }

    /// Moves streams off leaving upstreams that are about to end.
    fn move_leaving(&mut self, now: Millis) {
        let is_due = |ending: &Millis| now + MOVE_MARGIN >= *ending;
        let leaving = &mut self.leaving;
        let ending = leaving
            .iter()
            .filter(|(_, ending)| is_due(ending))
            .map(|(key, _)| *key);
        let ending = ending.collect::<Vec<_>>();
        leaving.retain(|_, ending| !is_due(ending));
        for (key, ticket) in &self.tickets {
            if let Phase::Running(upstream) = ticket.phase
                && ending.contains(&upstream)
            {
                self.actions.push(Action::Move(key));
            }
        }
    }

    fn draw(&self, key: arena::Ticket) -> f64 {
        self.tickets
            .get(key)
            .map_or(0.5, |ticket| ticket.submission.draw)
    }
}
