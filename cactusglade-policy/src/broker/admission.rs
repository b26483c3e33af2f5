//! Admission of requests with a prompt to latency-critical services: sent now, kept waiting, or refused.

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::errors::Kind;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Candidate;
use super::Denied;
use super::Grant;
use super::Query;
use super::Strategy;
use super::Terms;
use super::pick_service;
use crate::admission;
use crate::admission::Room;
use crate::admission::Stage;
use crate::admission::Times;
use crate::admission::Waiter;
use crate::quarantine::Admission;

/// Most waiting requests of a service whose expected times are estimated anew at once, those first
/// that are due first: an estimate costs up to 20 us in the largest fleet.
const MAX_ESTIMATES: usize = 16;

/// Number of waiting requests that look for room, the first in the order: where only the first does, its
/// upstream keeps those waiting whose upstreams have room, and where all do, so many are sent that
/// urgent requests wait.
const MAX_LEADING: usize = 2;
/// How many more uncached prompt tokens the selected upstream may have than the best of those compared,
/// as a ratio and in tokens: these take some 10 ms to read.
const UNCACHED_RATIO: f64 = 1.1;
const UNCACHED_MARGIN: f64 = 500.0;

/// `Decision` is what becomes of a request that was not refused.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// It is sent.
    Sent(Grant),
    /// It waits; the wait is known once the rate is at which requests are sent.
    Waits(arena::Waiting, Option<Millis>),
}

/// `Turn` is the end of a request's wait.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Key of the request.
    pub key: arena::Waiting,
    /// Service of the request.
    pub service: arena::Service,
    /// Time that it has waited.
    pub waited: Millis,
    /// Whether the upstream had room for it.
    pub has_room: bool,
    /// Where it is sent, or why it is refused.
    pub result: Result<Grant, Denied>,
}

/// `Outlook` is what sending a request now would lead to.
struct Outlook {
    candidates: Vec<Candidate>,
    usable: usize,
    terms: Terms,
    /// Expected time to the first event at the best of the compared upstreams.
    expected: Option<Millis>,
}

/// `Subject` is a request with its route and the service that the traffic split selected.
struct Subject {
    service: arena::Service,
    name: String,
    shortest: Millis,
    is_deferrable: bool,
    priority: u64,
    target: Millis,
    patience: Millis,
}

impl<R: Strategy> Broker<R> {
    /// Returns whether [`Self::admit`] decides on a request: the first attempt of one with a prompt to
    /// a latency-critical service.
    #[must_use]
    pub fn admits(&self, query: &Query<'_>) -> bool {
        self.subject(query).is_some()
    }

    /// Sends a request, has it wait, or refuses it. The quota is charged when it is sent.
    ///
    /// # Errors
    ///
    /// Returns why the request can't be sent and does not wait.
    pub fn admit(&mut self, now: Millis, query: &Query<'_>) -> Result<Decision, Denied> {
        let subject = self.subject(query).ok_or(Kind::UnknownRoute)?;
        self.check_quota(now, query.organisation)
            .map_err(over_quota)?;
        let outlook = self.outlook(now, &subject, query);
        let Some(expected) = outlook.expected else {
            return Err(self.denied(now, subject.service, &subject.name, query));
        };
        let ends = query.deadline.min(query.arrived + subject.patience);
        if now + expected > ends {
            return Err(late());
        }
        if !subject.is_deferrable || self.is_draining {
            return self
                .send(now, &subject, &outlook, query)
                .map(Decision::Sent);
        }
        let waiter = waiter(&subject, query, expected);
        let ahead = self.line.ahead(now, &waiter);
        let stage = waiter.stage(now);
        let is_next = stage == Stage::Last || ahead == 0;
        if is_next && self.has_room(now, &subject, &outlook, query, stage) {
            return self
                .send(now, &subject, &outlook, query)
                .map(Decision::Sent);
        }
        let expected_wait = self.line.wait(now, subject.service, ahead);
        if let Some((wait, rate)) = expected_wait
            && now + wait > waiter.times.limit.min(waiter.times.deadline)
        {
            let schedule = self.returns.entry(subject.service).or_default();
            let due = schedule.admit(now, now + wait, rate);
            return Err(Denied {
                kind: Kind::Overloaded,
                retry_after: Some(due - now),
                reason: Some(Reason::Room),
            });
        }
        let key = self.line.insert(now, waiter);
        Ok(Decision::Waits(key, expected_wait.map(|(wait, _)| wait)))
    }

    /// Returns whether a request would wait if it arrived now.
    pub(super) fn would_wait(&self, now: Millis, query: &Query<'_>) -> bool {
        let Some(subject) = self.subject(query) else {
            return false;
        };
        let outlook = self.outlook(now, &subject, query);
        let Some(expected) = outlook.expected else {
            return false;
        };
        let waiter = waiter(&subject, query, expected);
        let stage = waiter.stage(now);
        let is_next = stage == Stage::Last || self.line.ahead(now, &waiter) == 0;
        let is_sent = is_next && self.has_room(now, &subject, &outlook, query, stage);
        subject.is_deferrable && !self.is_draining && !is_sent
    }

    /// Ends the waits of requests that can be sent now or are over: at most one of each service is sent
    /// because there is room, and all whose last moment has come and that fit. `draw` returns random
    /// numbers from 0 to 1.
    pub fn advance(&mut self, now: Millis, mut draw: impl FnMut() -> f64) -> Vec<Turn> {
        let mut turns = Vec::new();
        for service in self.line.services() {
            self.estimate_waiting(now, service, &mut draw);
            let mut tried = 0;
            let mut has_sent = false;
            for key in self.line.order(now, service) {
                let Some(waiter) = self.line.get(key) else {
                    continue;
                };
                let stage = waiter.stage(now);
                if waiter.is_over(now) {
                    let denied = if now >= waiter.times.deadline {
                        Kind::Expired.into()
                    } else {
                        late()
                    };
                    turns.extend(self.end(now, key, false, Err(denied)));
                    continue;
                }
                let may_lead = tried == 0 || (tried < MAX_LEADING && waiter.can_be_in_time(now));
                if stage == Stage::Last || self.is_draining || (may_lead && !has_sent) {
                    let turn = self.attempt(now, key, stage, draw());
                    tried += 1;
                    has_sent |= turn.is_some_and(|turn| turn.has_room);
                    turns.extend(turn);
                }
            }
        }
        turns
    }

    /// Removes a request whose caller has left.
    pub fn leave(&mut self, now: Millis, key: arena::Waiting) {
        self.line.remove(now, key);
    }

    /// Sends requests without a wait from now on, since the daemon shuts down.
    pub const fn drain(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether requests wait.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.line.is_empty()
    }

    /// Returns the number of requests that wait for a service.
    #[must_use]
    pub fn waiting(&self, service: arena::Service) -> usize {
        self.line.len(service)
    }

    /// Sends a waiting request if there is room, and refuses it if there is no upstream.
    fn attempt(
        &mut self,
        now: Millis,
        key: arena::Waiting,
        stage: Stage,
        draw: f64,
    ) -> Option<Turn> {
        let waiter = self.line.get(key)?.clone();
        let query = query(&waiter, draw);
        let Some(subject) = self.subject_of(&query, waiter.service) else {
            // The catalog in force no longer has the route, or its service is no longer
            // latency-critical.
            let charged = self.charge_prompt(now, &query);
            let result = charged.and_then(|()| self.place(now, &query));
            return self.end(now, key, false, result);
        };
        let outlook = self.outlook(now, &subject, &query);
        if outlook.candidates.is_empty() {
            let denied = self.denied(now, subject.service, &subject.name, &query);
            return self.end(now, key, false, Err(denied));
        }
        let is_last = stage == Stage::Last;
        let usual = if is_last { Stage::Early } else { stage };
        let has_room = self.has_room(now, &subject, &outlook, &query, usual);
        let fits = has_room || (is_last && self.has_room(now, &subject, &outlook, &query, stage));
        if !fits && !self.is_draining {
            return None;
        }
        let result = self.check_parts(now, &waiter.prompt, draw);
        let result = result.and_then(|()| self.send(now, &subject, &outlook, &query));
        self.end(now, key, has_room, result)
    }

    fn end(
        &mut self,
        now: Millis,
        key: arena::Waiting,
        has_room: bool,
        result: Result<Grant, Denied>,
    ) -> Option<Turn> {
        let waiter = self.line.remove(now, key)?;
        if result.is_ok() {
            self.line.record_sent(now, &waiter);
        }
        Some(Turn {
            key,
            service: waiter.service,
            waited: now - waiter.times.arrived,
            has_room,
            result,
        })
    }

    fn estimate_waiting(
        &mut self,
        now: Millis,
        service: arena::Service,
        draw: &mut impl FnMut() -> f64,
    ) {
        let mut keys = self.line.order(now, service);
        keys.retain(|key| {
            let waiter = self.line.get(*key);
            waiter.is_some_and(|waiter| now <= waiter.times.due)
        });
        keys.sort_by_key(|key| self.line.get(*key).map(|waiter| waiter.times.due));
        for key in keys.into_iter().take(MAX_ESTIMATES) {
            let Some(waiter) = self.line.get(key) else {
                continue;
            };
            let query = query(waiter, draw());
            let subject = self.subject_of(&query, service);
            let outlook = subject.map(|subject| self.outlook(now, &subject, &query));
            if let Some(expected) = outlook.and_then(|outlook| outlook.expected) {
                self.line.expect(key, expected);
            }
        }
    }

    fn send(
        &mut self,
        now: Millis,
        subject: &Subject,
        outlook: &Outlook,
        query: &Query<'_>,
    ) -> Result<Grant, Denied> {
        let candidates = &outlook.candidates;
        let index = self.strategy.choose(candidates, &outlook.terms, query.draw);
        let index = index.ok_or(Kind::NoUpstream)?;
        self.charge_prompt(now, query)?;
        let bounds = self.options.retries;
        let budget = self.budgets.entry(subject.service).or_default();
        budget.record_request(now, &bounds);
        Ok(self.grant(
            now,
            subject.service,
            &candidates[index],
            outlook.usable,
            query.prompt,
        ))
    }

    /// Charges a request with a prompt to its organisation's quota.
    fn charge_prompt(&mut self, now: Millis, query: &Query<'_>) -> Result<(), Denied> {
        let Some(organisation) = query.organisation else {
            return Ok(());
        };
        let units = self.units(organisation, query.prompt);
        let charged = self.charge(now, organisation, units, false);
        charged.map_err(over_quota)
    }

    /// Checks that no part of the prompt of a request that has waited is held by now.
    fn check_parts(&mut self, now: Millis, prompt: &Prompt, draw: f64) -> Result<(), Denied> {
        match self.quarantine.admit(now, prompt.shared(), draw.to_bits()) {
            Admission::Open | Admission::Trial => Ok(()),
            Admission::Wait(until) | Admission::Refused(until) => Err(Denied {
                retry_after: Some(until - now),
                ..Kind::Quarantined.into()
            }),
        }
    }

    /// Returns whether the upstream that the choice selects has room for a deferrable request.
    ///
    /// Early in its wait the upstream must have as much of the prompt cached as any other that is
    /// compared. Requests sent to any upstream with room had so many prompts read again that more were
    /// late than without a wait (see `docs/design/admission.md`). A request that is late goes to any, so
    /// that new upstreams, which have nothing cached, take what has been waiting.
    fn has_room(
        &self,
        now: Millis,
        subject: &Subject,
        outlook: &Outlook,
        query: &Query<'_>,
        stage: Stage,
    ) -> bool {
        let (candidates, terms) = (&outlook.candidates, &outlook.terms);
        let Some(index) = self.strategy.choose(candidates, terms, query.draw) else {
            return false;
        };
        let candidate = &candidates[index];
        let room = Room {
            load: self.full_load(now, candidate),
            slots: candidate.slots,
            pending_ms: candidate.pace * candidate.backlog / terms.tokens_per_ms,
        };
        let least = candidates.iter().map(|one| one.uncached);
        let least = least.fold(f64::INFINITY, f64::min);
        let is_cached = candidate.uncached <= least * UNCACHED_RATIO + UNCACHED_MARGIN;
        (stage != Stage::Early || is_cached) && room.suffices(subject.shortest, stage)
    }

    /// Returns the load of a candidate by which it has room.
    fn full_load(&self, now: Millis, candidate: &Candidate) -> f64 {
        let upstream = self.upstreams.get(candidate.upstream);
        upstream.map_or(candidate.load, |one| one.full_load(now))
    }

    fn outlook(&self, now: Millis, subject: &Subject, query: &Query<'_>) -> Outlook {
        let (candidates, usable) = self.candidates(now, &subject.name, true, query);
        let terms = self.terms(subject.service, query);
        let expected = candidates
            .iter()
            .map(|one| self.strategy.expected(one, &terms));
        let expected = expected.min_by(f64::total_cmp);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = expected.map(|expected| Millis(expected as u64));
        Outlook {
            candidates,
            usable,
            terms,
            expected,
        }
    }

    fn subject(&self, query: &Query<'_>) -> Option<Subject> {
        let route = self.catalog.routes.get(query.route)?;
        let service = pick_service(&route.split, query.draw)?;
        self.subject_of(query, service)
    }

    fn subject_of(&self, query: &Query<'_>, service: arena::Service) -> Option<Subject> {
        let is_first = !query.is_retry && query.tried.is_empty();
        query.prompt.filter(|_| is_first)?;
        let shortest = *self.tight.get(&service)?;
        let route = self.catalog.routes.get(query.route)?;
        let organisation = query.organisation;
        let organisation = organisation.and_then(|key| self.catalog.organisations.get(key));
        let priority = organisation.and_then(|organisation| organisation.priority);
        Some(Subject {
            service,
            name: self.catalog.services.get(service)?.name.clone(),
            shortest,
            is_deferrable: admission::is_deferrable(route.latency_target, shortest),
            priority: priority.unwrap_or(route.priority),
            target: route.latency_target,
            patience: admission::patience(route, query.arrived, query.deadline),
        })
    }
}

fn waiter(subject: &Subject, query: &Query<'_>, expected: Millis) -> Waiter {
    Waiter {
        service: subject.service,
        route: query.route,
        organisation: query.organisation,
        prompt: query.prompt.cloned().unwrap_or_default(),
        priority: subject.priority,
        times: Times {
            arrived: query.arrived,
            due: query.arrived + subject.target,
            limit: query.arrived + Millis(subject.patience.0 / 2),
            deadline: query.deadline,
        },
        expected,
    }
}

fn query(waiter: &Waiter, draw: f64) -> Query<'_> {
    Query {
        route: waiter.route,
        organisation: waiter.organisation,
        prompt: Some(&waiter.prompt),
        tried: &[],
        is_retry: false,
        arrived: waiter.times.arrived,
        deadline: waiter.times.deadline,
        draw,
    }
}

fn over_quota(wait: Millis) -> Denied {
    Denied {
        retry_after: Some(wait),
        ..Kind::LimitExceeded.into()
    }
}

fn late() -> Denied {
    Denied {
        reason: Some(Reason::Late),
        ..Kind::Overloaded.into()
    }
}
