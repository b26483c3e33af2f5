//! The queue of the requests that wait for room.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;
use slotmap::SlotMap;

use super::Stage;
use super::longest_pause;
use super::sent::Sent;

/// `Times` bounds the wait of a request.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// When the request arrived.
    pub arrived: Millis,
    /// When the first event is due by the latency target.
    pub due: Millis,
    /// When a request that can only be late is refused.
    pub limit: Millis,
    /// When the request fails.
    pub deadline: Millis,
}

/// `Waiter` is a request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Service that the traffic split selected.
    pub service: arena::Service,
    /// Route of the request.
    pub route: arena::Route,
    /// Organisation that sent the request, where it is known.
    pub organisation: Option<arena::Organisation>,
    /// Prompt of the request.
    pub prompt: Prompt,
    /// Priority; 0 is the greatest.
    pub priority: u64,
    /// Bounds of the wait.
    pub times: Times,
    /// Expected time to the first event if the request were sent, as it was estimated last.
    pub expected: Millis,
}

impl Waiter {
    /// Returns whether the first event is expected in time if the request is sent now.
    #[must_use]
    pub fn can_be_in_time(&self, now: Millis) -> bool {
        now + self.expected <= self.times.due
    }

    /// Returns how far the wait has gone. A request is at its last stage where it can be in time now, and
    /// can't when it is looked at next.
    #[must_use]
    pub fn stage(&self, now: Millis) -> Stage {
        if !self.can_be_in_time(now) {
            Stage::Late
        } else if self.can_be_in_time(now + longest_pause()) {
            Stage::Early
        } else {
            Stage::Last
        }
    }

    /// Returns whether the request must not wait any longer, since it can only be late or fails.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        let is_late = !self.can_be_in_time(now) && now >= self.times.limit;
        is_late || now >= self.times.deadline
    }
}

/// `Line` holds the requests that wait, of all services.
#[derive(Clone, Debug, Default)]
pub struct Line {
    waiters: SlotMap<arena::Waiting, Waiter>,
    sent: BTreeMap<arena::Service, Sent>,
}

impl Line {
    /// Adds a request and returns its key.
    pub fn insert(&mut self, now: Millis, waiter: Waiter) -> arena::Waiting {
        let sent = self.sent.entry(waiter.service).or_default();
        sent.note(now, true);
        self.waiters.insert(waiter)
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, key: arena::Waiting) -> Option<&Waiter> {
        self.waiters.get(key)
    }

    /// Replaces the expected time to the first event of a request.
    pub fn expect(&mut self, key: arena::Waiting, expected: Millis) {
        if let Some(waiter) = self.waiters.get_mut(key) {
            waiter.expected = expected;
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, now: Millis, key: arena::Waiting) -> Option<Waiter> {
        let waiter = self.waiters.remove(key)?;
        let has_waiting = self.of(waiter.service).next().is_some();
        let sent = self.sent.entry(waiter.service).or_default();
        sent.note(now, has_waiting);
        Some(waiter)
    }

    /// Records that a waiting request was sent.
    pub fn record_sent(&mut self, now: Millis, waiter: &Waiter) {
        let sent = self.sent.entry(waiter.service).or_default();
        sent.record(now, waiter.organisation);
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of requests that wait for a service.
    #[must_use]
    pub fn len(&self, service: arena::Service) -> usize {
        self.of(service).count()
    }

    /// Returns the services for which requests wait, in order.
    #[must_use]
    pub fn services(&self) -> Vec<arena::Service> {
        let mut services = self.waiters.values().map(|one| one.service);
        let mut services = services.by_ref().collect::<Vec<_>>();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns the requests that wait for a service, in the order in which they are to be sent.
    ///
    /// Requests that can be in time come first, then the greater priority, then the organisation with
    /// the fewest requests sent lately, so that one that sends many can't keep the others waiting, then
    /// the earliest deadline. The size doesn't count: long prompts would wait for ever.
    #[must_use]
    pub fn order(&self, now: Millis, service: arena::Service) -> Vec<arena::Waiting> {
        let shares = self.sent.get(&service).map(|sent| sent.shares(now));
        let shares = shares.unwrap_or_default();
        let rank = |waiter: &Waiter| Rank::new(now, waiter, &shares);
        let mut order = self.of(service).collect::<Vec<_>>();
        order.sort_by(|(one_key, one), (other_key, other)| {
            rank(one)
                .cmp(&rank(other))
                .then_with(|| one_key.cmp(other_key))
        });
        order.into_iter().map(|(key, _)| key).collect()
    }

    /// Returns the number of waiting requests that would be sent before a new one.
    #[must_use]
    pub fn ahead(&self, now: Millis, new: &Waiter) -> usize {
        let shares = self.sent.get(&new.service).map(|sent| sent.shares(now));
        let shares = shares.unwrap_or_default();
        let own = Rank::new(now, new, &shares);
        let waiters = self.of(new.service).map(|(_, waiter)| waiter);
        let before =
            |waiter: &&Waiter| Rank::new(now, waiter, &shares).cmp(&own) != Ordering::Greater;
        waiters.filter(before).count()
    }

    /// Returns the expected wait behind a number of other requests, and the rate per second at which
    /// requests are sent, once it is known.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn wait(
        &self,
        now: Millis,
        service: arena::Service,
        ahead: usize,
    ) -> Option<(Millis, f64)> {
        let rate = self.sent.get(&service)?.rate(now)?;
        Some((Millis((ahead as f64 / rate * 1_000.0) as u64), rate))
    }

    fn of(&self, service: arena::Service) -> impl Iterator<Item = (arena::Waiting, &Waiter)> {
        let waiters = self.waiters.iter();
        waiters.filter(move |(_, waiter)| waiter.service == service)
    }
}

/// `Rank` is the place of a request in the order; the least is sent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    is_late: bool,
    priority: u64,
    sent_lately: u64,
    deadline: Millis,
    arrived: Millis,
}

impl Rank {
    fn new(
        now: Millis,
        waiter: &Waiter,
        shares: &BTreeMap<Option<arena::Organisation>, u64>,
    ) -> Self {
        Self {
            is_late: !waiter.can_be_in_time(now),
            priority: waiter.priority,
            sent_lately: shares
                .get(&waiter.organisation)
                .copied()
                .unwrap_or_default(),
            deadline: waiter.times.deadline,
            arrived: waiter.times.arrived,
        }
    }
}
