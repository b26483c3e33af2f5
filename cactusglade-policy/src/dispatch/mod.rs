//! Admits requests, orders them fairly, and grants each an upstream.
//!
//! One [`Dispatch`] is owned by one task of a daemon. Events go in through its methods, actions
//! come out through a list. See `docs/DESIGN.md`.

mod ticket;
mod trial;

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::set::Set;
use cactusglade_core::set::Target;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use slotmap::SlotMap;

use crate::choice::Rule;
use crate::choice::Wish;
use crate::fair::Queue;
use crate::limit::Bucket;
use crate::pool::Need;
use crate::pool::Pool;
use crate::retry::Budget;

pub use ticket::Ask;
pub use ticket::Cause;
pub use ticket::Grant;
pub use ticket::Report;
pub use ticket::Verdict;
pub use trial::Arm;
pub use trial::Trial;

use ticket::Phase;
use ticket::Ticket;

/// Attempts that one request may make, moves off a leaving upstream aside.
const MAX_ATTEMPTS: u32 = 4;
/// Time before an upstream is gone at which streams on it are moved.
const MOVE_MARGIN: Millis = Millis(1_500);

/// `Action` is what the owner of the dispatch must carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to this upstream.
    Grant(Grant),
    /// Refuse the request; its ticket is closed.
    Refuse(arena::Ticket, Kind),
    /// The upstream of this running request goes away soon: continue it elsewhere.
    Move(arena::Ticket),
    /// The new version of this rollout is bad: make it known.
    Veto(arena::Rollout),
}

/// `Counters` are totals since the start, for metrics and invariants.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused by this policy.
    pub refused: u64,
    /// Attempts granted.
    pub granted: u64,
    /// Attempts beyond the first, moves included.
    pub retried: u64,
    /// Attempts moved off a leaving upstream.
    pub moved: u64,
    /// Attempts granted on a leaving upstream; must stay zero.
    pub granted_leaving: u64,
}

/// `Dispatch` holds the state of all requests of one daemon.
#[derive(Debug)]
pub struct Dispatch<R: Rule> {
    set: Arc<Set>,
    rule: R,
    pool: Pool,
    queues: BTreeMap<Need, Queue<arena::Ticket>>,
    tickets: SlotMap<arena::Ticket, Ticket>,
    trials: BTreeMap<arena::Rollout, Trial>,
    buckets: BTreeMap<arena::Organisation, Bucket>,
    usage: BTreeMap<arena::Organisation, u64>,
    departures: BTreeMap<arena::Upstream, Millis>,
    budget: Budget,
    waiting: usize,
    max_waiting: usize,
    counters: Counters,
    actions: Vec<Action>,
}

impl<R: Rule> Dispatch<R> {
    /// Makes a dispatch without an object set, for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: &str, rule: R, max_waiting: usize) -> Self {
        Self {
            set: Arc::default(),
            rule,
            pool: Pool::new(zone),
            queues: BTreeMap::new(),
            tickets: SlotMap::with_key(),
            trials: BTreeMap::new(),
            buckets: BTreeMap::new(),
            usage: BTreeMap::new(),
            departures: BTreeMap::new(),
            budget: Budget::default(),
            waiting: 0,
            max_waiting,
            counters: Counters::default(),
            actions: Vec::new(),
        }
    }

    /// Takes the actions that have come due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Totals since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Whether time passing may bring actions soon.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.waiting > 0 || !self.departures.is_empty()
    }

    /// The set in force.
    #[must_use]
    pub const fn set(&self) -> &Arc<Set> {
        &self.set
    }

    /// What is known of the upstreams.
    #[must_use]
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Tokens served since the start, by organisation.
    #[must_use]
    pub const fn usage(&self) -> &BTreeMap<arena::Organisation, u64> {
        &self.usage
    }

    /// The trials of the rollouts under way.
    #[must_use]
    pub const fn trials(&self) -> &BTreeMap<arena::Rollout, Trial> {
        &self.trials
    }

    /// Takes over a set of a greater generation; an older one is refused.
    pub fn adopt(&mut self, now: Millis, unix: Millis, set: Arc<Set>) -> bool {
        if set.generation <= self.set.generation && self.set.generation != Generation(0) {
            return false;
        }
        self.set = set;
        self.pool.adopt(&self.set);
        let live = self
            .set
            .rollouts
            .iter()
            .map(|(key, _)| key)
            .collect::<Vec<_>>();
        self.trials.retain(|key, _| live.contains(key));
        for key in live {
            self.trials.entry(key).or_default();
        }
        for (key, organisation) in self.set.organisations.iter() {
            self.buckets
                .entry(key)
                .or_default()
                .set(organisation.meta.tokens_per_second);
            for queue in self.queues.values_mut() {
                queue.weigh(key, organisation.meta.weight);
            }
        }
        self.pump(now, unix);
        true
    }

    /// Admits a request, or refuses it through an action; either way it has a ticket.
    pub fn arrive(&mut self, now: Millis, unix: Millis, ask: Ask) -> arena::Ticket {
        let refusal = self.refusal(now, &ask);
        let (organisation, cost) = (ask.organisation, ask.cost);
        let ticket = self.tickets.insert(Ticket::new(ask));
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
        self.pump(now, unix);
        ticket
    }

    /// Asks for another attempt of a request whose attempt ended without an answer.
    pub fn again(&mut self, now: Millis, unix: Millis, key: arena::Ticket, cause: Cause) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(upstream) = ticket.leave() else {
            return;
        };
        ticket.resumed |= cause.has_progress();
        ticket.may_have_run |= cause != Cause::Refused;
        if cause != Cause::Leaving {
            ticket.attempts += 1;
            ticket.tried.push(upstream);
        }
        let exhausted = ticket.attempts >= MAX_ATTEMPTS;
        self.release(now, upstream, cause.is_fault(), self.draw(key));
        self.counters.moved += u64::from(cause == Cause::Leaving);
        let allowed = cause == Cause::Leaving || (!exhausted && self.budget.withdraw());
        if allowed {
            self.counters.retried += 1;
            self.enqueue(unix, key, true);
        } else {
            self.refuse(key, cause.kind());
        }
        self.pump(now, unix);
    }

    /// Closes a ticket with what came of it.
    pub fn finish(&mut self, now: Millis, unix: Millis, key: arena::Ticket, report: Report) {
        let Some(mut ticket) = self.tickets.remove(key) else {
            return;
        };
        if ticket.phase == Phase::Waiting {
            self.remove_waiting(key, &ticket);
        }
        let version = ticket.version();
        if let Some(upstream) = ticket.leave() {
            self.release(
                now,
                upstream,
                report.verdict == Verdict::Fault,
                ticket.ask.draw,
            );
            if let Some(state) = self.pool.get_mut(upstream)
                && let Some(first_token) = report.first_token
            {
                state.observe(first_token);
            }
        }
        self.settle(&ticket, report.tokens);
        if let Some(version) = version {
            self.judge(&ticket, version, report.verdict);
        }
        self.pump(now, unix);
    }

    /// Notes that an upstream incarnation is leaving and is gone at `gone`.
    ///
    /// Gives back whether this is news.
    pub fn leave(&mut self, now: Millis, name: &str, incarnation: u64, gone: Millis) -> bool {
        let Some(key) = self.pool.leave(&self.set, name, incarnation) else {
            return false;
        };
        self.departures.insert(key, gone);
        self.depart(now);
        true
    }

    /// Takes in tokens that another daemon served an organisation.
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

    /// Takes in how a version move stands; only what is ahead of the known counts.
    pub fn moved(&mut self, rollout: &str, row: &Move) {
        let Some(key) = self.set.rollouts.find(rollout) else {
            return;
        };
        let Some(object) = self.set.rollouts.get(key) else {
            return;
        };
        if object.meta.deadline_unix_ms == row.deadline_unix_ms {
            self.trials.entry(key).or_default().moved(row);
        }
    }

    /// Takes in a veto, from another daemon or from this one's own evidence.
    pub fn veto(&mut self, rollout: &str, deadline: Millis, reason: &str) {
        let Some(key) = self.set.rollouts.find(rollout) else {
            return;
        };
        let Some(object) = self.set.rollouts.get(key) else {
            return;
        };
        if object.meta.deadline_unix_ms == deadline {
            self.trials.entry(key).or_default().veto(reason);
        }
    }

    /// Takes in evidence that another daemon gathered on one arm of a rollout.
    pub fn evidence(&mut self, rollout: &str, route: &str, arm: Arm, count: Count) {
        let Some(key) = self.set.rollouts.find(rollout) else {
            return;
        };
        let Some(route) = self.set.routes.find(route) else {
            return;
        };
        if self
            .trials
            .entry(key)
            .or_default()
            .remote(route, arm, count)
        {
            self.actions.push(Action::Veto(key));
        }
    }

    /// Lets time pass: ends what waited too long and moves streams off upstreams about to go.
    pub fn tick(&mut self, now: Millis, unix: Millis) {
        let late = |ticket: &Ticket| ticket.phase == Phase::Waiting && now >= ticket.ask.deadline;
        let expired = self.tickets.iter().filter(|(_, ticket)| late(ticket));
        let expired = expired
            .map(|(key, ticket)| (key, ticket.late_kind()))
            .collect::<Vec<_>>();
        for (key, kind) in expired {
            if let Some(ticket) = self.tickets.get(key).cloned() {
                self.remove_waiting(key, &ticket);
            }
            self.refuse(key, kind);
        }
        self.depart(now);
        self.pump(now, unix);
    }

    fn refusal(&mut self, now: Millis, ask: &Ask) -> Option<Kind> {
        let Some(route) = self.set.routes.get(ask.route) else {
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
        let bucket = self.buckets.get_mut(&ask.organisation)?;
        if !bucket.allows(now) {
            return Some(Kind::LimitExceeded);
        }
        (self.waiting >= self.max_waiting).then_some(Kind::Overloaded)
    }

    /// Everything that could serve a target: both versions while a rollout is under way.
    fn needs(&self, target: Target) -> [Option<Need>; 2] {
        match target {
            Target::Plain(service) => [Some(Need::Service(service)), None],
            Target::Chat(model) => {
                let serving = self
                    .set
                    .models
                    .get(model)
                    .map(|model| Need::Version(model.version));
                let rollout = self.set.rollouts.iter().find(|(_, r)| r.model == model);
                [
                    serving,
                    rollout.map(|(_, rollout)| Need::Version(rollout.to)),
                ]
            }
        }
    }

    fn need(&self, unix: Millis, ask: &Ask) -> Option<Need> {
        match self.set.routes.get(ask.route)?.target {
            Target::Plain(service) => Some(Need::Service(service)),
            Target::Chat(model) => {
                let serving = self.set.models.get(model)?.version;
                let rollout = self.set.rollouts.iter().find(|(_, r)| r.model == model);
                let version = rollout.and_then(|(key, rollout)| {
                    let trial = self.trials.get(&key)?;
                    Some(trial.version(rollout, unix, ask.draw))
                });
                Some(Need::Version(version.unwrap_or(serving)))
            }
        }
    }

    /// The need of a request whose answer has begun: its version stays while it is sound.
    fn kept(&self, ticket: &Ticket) -> Option<Need> {
        let need = ticket
            .need
            .filter(|need| ticket.resumed && self.pool.serves(*need))?;
        let vetoed = self.set.rollouts.iter().any(|(key, rollout)| {
            let trial = self.trials.get(&key);
            need == Need::Version(rollout.to) && trial.is_some_and(|trial| trial.vetoed().is_some())
        });
        (!vetoed).then_some(need)
    }

    fn enqueue(&mut self, unix: Millis, key: arena::Ticket, front: bool) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        let Some(need) = self.kept(ticket).or_else(|| self.need(unix, &ticket.ask)) else {
            self.refuse(key, Kind::NotReady);
            return;
        };
        let Some(route) = self.set.routes.get(ticket.ask.route) else {
            return;
        };
        let organisation = ticket.ask.organisation;
        let weight = self
            .set
            .organisations
            .get(organisation)
            .map_or(1, |o| o.meta.weight);
        let queue = self.queues.entry(need).or_default();
        queue.weigh(organisation, weight);
        if front {
            queue.push_front(organisation, route.meta.class, key);
        } else {
            queue.push(organisation, route.meta.class, key);
        }
        self.waiting += 1;
        if let Some(ticket) = self.tickets.get_mut(key) {
            ticket.need = Some(need);
            ticket.phase = Phase::Waiting;
        }
    }

    fn pump(&mut self, now: Millis, unix: Millis) {
        let needs = self.queues.keys().copied().collect::<Vec<_>>();
        for need in needs {
            while self.grant_next(now, unix, need) {}
        }
    }

    /// Grants the request that goes next for a need, if an upstream is free for it.
    fn grant_next(&mut self, now: Millis, unix: Millis, need: Need) -> bool {
        let Some((_, _, key)) = self.queues.get(&need).and_then(Queue::peek) else {
            return false;
        };
        let Some(ticket) = self.tickets.get(key) else {
            return self.drop_head(need);
        };
        // A veto or a deadline may have passed since it was put in line.
        let wanted = self
            .kept(ticket)
            .or_else(|| self.need(unix, &ticket.ask))
            .unwrap_or(need);
        if wanted != need {
            self.drop_head(need);
            self.enqueue(unix, key, true);
            return true;
        }
        let Some(upstream) = self.choose(now, key, need) else {
            return false;
        };
        let cost = self.tickets.get(key).map_or(0, |ticket| ticket.ask.cost);
        if let Some(queue) = self.queues.get_mut(&need) {
            queue.pop(cost);
        }
        self.waiting -= 1;
        self.grant(key, need, upstream);
        true
    }

    fn drop_head(&mut self, need: Need) -> bool {
        let dropped = self.queues.get_mut(&need).and_then(|queue| queue.pop(0));
        self.waiting -= usize::from(dropped.is_some());
        dropped.is_some()
    }

    fn choose(&mut self, now: Millis, key: arena::Ticket, need: Need) -> Option<arena::Upstream> {
        let ticket = self.tickets.get(key)?;
        let route = self.set.routes.get(ticket.ask.route)?;
        let prompt = &ticket.ask.prompt;
        let mut candidates = self
            .pool
            .candidates(&self.set, now, need, prompt, &ticket.tried);
        if candidates.is_empty() {
            candidates = self.pool.candidates(&self.set, now, need, prompt, &[]);
        }
        let wish = Wish {
            first_token: route.meta.first_token_ms,
            tokens: ticket.ask.cost,
            draw: ticket.ask.draw,
        };
        let place = self.rule.choose(&wish, &candidates)?;
        candidates.get(place).map(|candidate| candidate.upstream)
    }

    fn grant(&mut self, key: arena::Ticket, need: Need, upstream: arena::Upstream) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.phase = Phase::Running(upstream);
        if let Some(state) = self.pool.get_mut(upstream) {
            state.outstanding += 1;
            state.prefixes.insert(&ticket.ask.prompt);
            self.counters.granted_leaving += u64::from(state.leaving);
            assert!(!state.leaving, "a leaving upstream was granted work");
        }
        self.counters.granted += 1;
        let version = match need {
            Need::Version(version) => Some(version),
            Need::Service(_) => None,
        };
        self.actions.push(Action::Grant(Grant {
            ticket: key,
            upstream,
            version,
        }));
    }

    fn release(&mut self, now: Millis, upstream: arena::Upstream, failed: bool, draw: f64) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        if failed {
            state.backoff.fail(now, draw);
        } else {
            state.backoff.succeed();
        }
    }

    fn refuse(&mut self, key: arena::Ticket, kind: Kind) {
        let Some(ticket) = self.tickets.remove(key) else {
            return;
        };
        self.settle(&ticket, 0);
        self.counters.refused += 1;
        self.actions
            .push(Action::Refuse(key, ticket.last_word(kind)));
    }

    fn remove_waiting(&mut self, key: arena::Ticket, ticket: &Ticket) {
        let Some(need) = ticket.need else { return };
        let queue = self.queues.get_mut(&need);
        if queue.is_some_and(|queue| queue.remove(ticket.ask.organisation, key)) {
            self.waiting -= 1;
        }
    }

    /// Puts the real cost in the place of the estimate.
    fn settle(&mut self, ticket: &Ticket, tokens: u64) {
        let organisation = ticket.ask.organisation;
        *self.usage.entry(organisation).or_default() += tokens;
        let Some(need) = ticket.need else { return };
        let signed = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        let difference = signed(tokens) - signed(ticket.ask.cost);
        if let Some(queue) = self.queues.get_mut(&need) {
            queue.correct(organisation, difference);
        }
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.charge(difference);
        }
    }

    fn judge(&mut self, ticket: &Ticket, version: arena::Version, verdict: Verdict) {
        let Some(count) = verdict.count() else { return };
        let rollout = self.set.rollouts.iter().find(|(_, rollout)| {
            (rollout.to == version || rollout.from == version)
                && self
                    .set
                    .routes
                    .get(ticket.ask.route)
                    .map(|route| route.target)
                    == Some(Target::Chat(rollout.model))
        });
        let Some((key, rollout)) = rollout else {
            return;
        };
        let arm = if rollout.to == version {
            Arm::New
        } else {
            Arm::Old
        };
        if self
            .trials
            .entry(key)
            .or_default()
            .local(ticket.ask.route, arm, count)
        {
            self.actions.push(Action::Veto(key));
        }
    }

    /// Moves streams off upstreams that are about to be gone.
    fn depart(&mut self, now: Millis) {
        let due = |gone: &Millis| now + MOVE_MARGIN >= *gone;
        let departures = &mut self.departures;
        let gone = departures
            .iter()
            .filter(|(_, gone)| due(gone))
            .map(|(key, _)| *key);
        let gone = gone.collect::<Vec<_>>();
        departures.retain(|_, gone| !due(gone));
        for (key, ticket) in &self.tickets {
            if let Phase::Running(upstream) = ticket.phase
                && gone.contains(&upstream)
            {
                self.actions.push(Action::Move(key));
            }
        }
    }

    fn draw(&self, key: arena::Ticket) -> f64 {
        self.tickets.get(key).map_or(0.5, |ticket| ticket.ask.draw)
    }
}
