//! Queues requests and assigns them upstreams.

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;

use crate::choice::Demand;
use crate::choice::Strategy;
use crate::dispatch::Action;
use crate::dispatch::Dispatch;
use crate::dispatch::Grant;
use crate::dispatch::ticket::Phase;
use crate::dispatch::ticket::Ticket;
use crate::fair::Queue;
use crate::pool::Need;

impl<R: Strategy> Dispatch<R> {
    pub(super) fn enqueue(&mut self, unix: Millis, key: arena::Ticket, front: bool) {
        let Some(ticket) = self.tickets.get(key) else {
            return;
        };
        let Some(need) = self
            .pinned_need(ticket)
            .or_else(|| self.current_need(unix, ticket))
        else {
            self.refuse(key, Kind::NotReady);
            return;
        };
        let Some(route) = self.set.routes.get(ticket.submission.route) else {
            return;
        };
        let organisation = ticket.submission.organisation;
        let weight = self
            .set
            .organisations
            .get(organisation)
            .map_or(1, |object| object.meta.weight);
        let queue = self.queues.entry(need).or_default();
        queue.set_weight(organisation, weight);
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

    pub(super) fn grant_all(&mut self, now: Millis, unix: Millis) {
        let needs = self.queues.keys().copied().collect::<Vec<_>>();
        for need in needs {
            while self.grant_next(now, unix, need) {}
        }
    }

    /// Assigns the next request in a need's queue an upstream, if one is available.
    ///
    /// Returns whether the queue changed.
    pub(super) fn grant_next(&mut self, now: Millis, unix: Millis, need: Need) -> bool {
        let Some((_, _, key)) = self.queues.get(&need).and_then(Queue::peek) else {
            return false;
        };
        let Some(ticket) = self.tickets.get(key) else {
            return self.drop_head(need);
        };
        // A veto or a rollout's deadline may have changed the version since the request was queued.
        let current = self
            .pinned_need(ticket)
            .or_else(|| self.current_need(unix, ticket))
            .unwrap_or(need);
        if current != need {
            self.drop_head(need);
            self.enqueue(unix, key, true);
            return true;
        }
        let Some(upstream) = self.choose(now, key, need) else {
            return false;
        };
        let cost = self
            .tickets
            .get(key)
            .map_or(0, |ticket| ticket.submission.cost);
        if let Some(queue) = self.queues.get_mut(&need) {
            queue.pop(cost);
        }
        self.waiting -= 1;
        self.grant(key, need, upstream);
        true
    }

    pub(super) fn drop_head(&mut self, need: Need) -> bool {
        let dropped = self.queues.get_mut(&need).and_then(|queue| queue.pop(0));
        self.waiting -= usize::from(dropped.is_some());
        dropped.is_some()
    }

    pub(super) fn choose(
        &mut self,
        now: Millis,
        key: arena::Ticket,
        need: Need,
    ) -> Option<arena::Upstream> {
        let ticket = self.tickets.get(key)?;
        let route = self.set.routes.get(ticket.submission.route)?;
        let prompt = &ticket.submission.prompt;
        let mut candidates = self
            .pool
            .candidates(&self.set, now, need, prompt, &ticket.tried);
        if candidates.is_empty() {
            candidates = self.pool.candidates(&self.set, now, need, prompt, &[]);
        }
        if candidates.is_empty() {
            candidates.extend(self.pool.probe(&self.set, now, need, prompt));
        }
        let demand = Demand {
            first_token: route.meta.first_token_ms,
            tokens: ticket.submission.cost,
            draw: ticket.submission.draw,
        };
        let index = self.strategy.choose(&demand, &candidates)?;
        candidates.get(index).map(|candidate| candidate.upstream)
    }

    pub(super) fn grant(&mut self, key: arena::Ticket, need: Need, upstream: arena::Upstream) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.phase = Phase::Running(upstream);
        ticket.charged += ticket.submission.cost;
        if let Some(state) = self.pool.get_mut(upstream) {
            state.outstanding += 1;
            state.prefixes.insert(&ticket.submission.prompt);
            self.counters.granted_leaving += u64::from(state.leaving);
            assert!(!state.leaving, "a leaving upstream was granted a request");
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

    pub(super) fn release(
        &mut self,
        now: Millis,
        upstream: arena::Upstream,
        failed: bool,
        draw: f64,
    ) {
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        state.outstanding = state.outstanding.saturating_sub(1);
        if failed {
            state.backoff.record_failure(now, draw);
        } else {
            state.backoff.record_success();
        }
    }

    pub(super) fn remove_waiting(&mut self, key: arena::Ticket, ticket: &Ticket) {
        let Some(need) = ticket.need else { return };
        let queue = self.queues.get_mut(&need);
        if queue.is_some_and(|queue| queue.remove(ticket.submission.organisation, key)) {
            self.waiting -= 1;
        }
    }
}
