//! Guards against lost or doubly ended requests, requests to leaving upstreams or vetoed versions,
//! too many retries, and errors that state "not run" although a request may have run.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Move;
use cactusglade_core::row::Status;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;
use cactusglade_policy::choice::Cheapest;
use cactusglade_policy::dispatch::Action;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Dispatch;
use cactusglade_policy::dispatch::Grant;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Verdict;

use support::DEADLINE;
use support::SLOTS;
use support::UPSTREAMS;

const ROUTES: [&str; 3] = ["chat", "review", "book"];
const ORGANISATIONS: [&str; 2] = ["north", "south"];
const MAX_WAITING: usize = 20;
const UNIX: Millis = Millis(10);
const FAR: Millis = Millis(1_000_000);

/// A dispatch together with the test's own record of its requests.
struct World {
    dispatch: Dispatch<Cheapest>,
    set: Arc<Set>,
    now: Millis,
    open: BTreeSet<arena::Ticket>,
    running: BTreeMap<arena::Ticket, Grant>,
    doubtful: BTreeSet<arena::Ticket>,
    leaving: BTreeSet<arena::Upstream>,
    vetoed: bool,
}

impl World {
    fn new() -> Self {
        let set = support::set(1, &Set::default());
        let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
        dispatch.adopt(Millis(0), UNIX, set.clone());
        Self {
            dispatch,
            set,
            now: Millis(0),
            open: BTreeSet::new(),
            running: BTreeMap::new(),
            doubtful: BTreeSet::new(),
            leaving: BTreeSet::new(),
            vetoed: false,
        }
    }

    fn step(&mut self, kind: u8, which: u8, amount: u8) {
        let number = usize::from(which);
        match kind % 10 {
            0..=2 => self.arrive(number, amount),
            3 | 4 => self.finish(number, amount),
            5 => self.again(number, amount),
            6 if amount < 32 => self.leave(number, amount),
            7 => {
                self.now = self.now + Millis(u64::from(amount) * 20);
                self.dispatch.tick(self.now, UNIX);
            }
            8 if amount < 16 => self.adopt(),
            9 => self.roll(amount),
            _ => {}
        }
        self.act();
    }

    fn arrive(&mut self, number: usize, amount: u8) {
        let (organisation, route) = (ORGANISATIONS[number % 2], ROUTES[number % 3]);
        let deadline = self.now + Millis(u64::from(amount) * 40);
        let draw = f64::from(amount) / 255.0;
        let ask = support::ask(&self.set, organisation, route, deadline, draw);
        let ticket = self.dispatch.submit(self.now, UNIX, ask);
        assert!(self.open.insert(ticket), "the ticket is already in use");
    }

    fn pick(&self, number: usize) -> Option<arena::Ticket> {
        let running = self.running.keys().copied().collect::<Vec<_>>();
        (!running.is_empty()).then(|| running[number % running.len()])
    }

    fn finish(&mut self, number: usize, amount: u8) {
        let Some(ticket) = self.pick(number) else {
            return;
        };
        let verdicts = [
            Verdict::Good,
            Verdict::Slow,
            Verdict::Fault,
            Verdict::Neutral,
        ];
        let report = Report {
            verdict: verdicts[usize::from(amount) % 4],
            tokens: u64::from(amount),
            first_token: Some(Millis(u64::from(amount))),
        };
        self.running.remove(&ticket);
        assert!(self.open.remove(&ticket));
        self.dispatch.finish(self.now, UNIX, ticket, report);
    }

    fn again(&mut self, number: usize, amount: u8) {
        let Some(ticket) = self.pick(number) else {
            return;
        };
        let causes = [Cause::Refused, Cause::Lost, Cause::Broken, Cause::Leaving];
        let cause = causes[usize::from(amount) % 4];
        if cause != Cause::Refused {
            self.doubtful.insert(ticket);
        }
        self.running.remove(&ticket);
        self.dispatch.retry(self.now, UNIX, ticket, cause);
    }

    fn leave(&mut self, number: usize, amount: u8) {
        let kind = if amount.is_multiple_of(2) {
            "engine"
        } else {
            "service"
        };
        let name = format!("{kind}-{}", number % UPSTREAMS);
        let gone = self.now + Millis(u64::from(amount) * 100);
        self.dispatch.mark_leaving(self.now, &name, 0, gone);
        self.leaving
            .insert(self.set.upstreams.find(&name).expect("a known upstream"));
    }

    fn adopt(&mut self) {
        let generation = self.set.generation.0;
        let older = support::set(generation, &self.set);
        assert!(
            !self.dispatch.adopt(self.now, UNIX, older),
            "an object set of the same generation was adopted"
        );
        self.set = support::set(generation + 1, &self.set);
        assert!(self.dispatch.adopt(self.now, UNIX, self.set.clone()));
    }

    fn roll(&mut self, amount: u8) {
        if amount < 8 {
            self.dispatch.veto("move", DEADLINE, "bad");
            self.vetoed = true;
        } else {
            let row = Move {
                status: Status::Moving,
                step: u64::from(amount % 2),
                reason: String::new(),
                at_unix_ms: UNIX,
                deadline_unix_ms: DEADLINE,
            };
            self.dispatch.update_move("move", &row);
        }
    }

    fn act(&mut self) {
        for action in self.dispatch.take_actions() {
            match action {
                Action::Grant(grant) => self.granted(grant),
                Action::Refuse(ticket, kind) => {
                    assert!(self.open.remove(&ticket), "the request had already ended");
                    assert!(!self.running.contains_key(&ticket));
                    let doubtful = self.doubtful.contains(&ticket);
                    assert!(!(doubtful && kind.answer().ran == Ran::No), "{kind:?}");
                }
                Action::Move(ticket) => {
                    let grant = self.running.get(&ticket).expect("a running request");
                    assert!(self.leaving.contains(&grant.upstream));
                }
                Action::Veto(_) => self.vetoed = true,
            }
        }
        self.check();
    }

    fn granted(&mut self, grant: Grant) {
        assert!(
            self.open.contains(&grant.ticket),
            "the request had already ended"
        );
        assert!(
            !self.leaving.contains(&grant.upstream),
            "a leaving upstream was granted a request"
        );
        if self.vetoed {
            let new = self.set.versions.find("v2");
            assert!(
                grant.version != new,
                "a request was granted with a vetoed version"
            );
        }
        let before = self.running.insert(grant.ticket, grant);
        assert!(before.is_none(), "the request is already running");
    }

    fn check(&self) {
        let mut outstanding: BTreeMap<arena::Upstream, u64> = BTreeMap::new();
        for grant in self.running.values() {
            *outstanding.entry(grant.upstream).or_default() += 1;
        }
        assert!(
            outstanding.values().all(|count| *count <= SLOTS),
            "an upstream runs more requests than it has slots"
        );
        assert_eq!(
            self.open.len(),
            self.running.len() + self.dispatch.waiting()
        );
        let counters = self.dispatch.counters();
        let budget = 10 + counters.admitted / 5;
        assert!(
            counters.retried - counters.moved <= budget,
            "more retries than the budget allows"
        );
    }

    /// Finishes all running requests until no request is open.
    fn end(&mut self) {
        let mut rounds = 0;
        while !self.open.is_empty() && rounds < 1_000 {
            rounds += 1;
            while let Some(ticket) = self.pick(0) {
                self.running.remove(&ticket);
                self.open.remove(&ticket);
                let report = Report {
                    verdict: Verdict::Good,
                    tokens: 1,
                    first_token: None,
                };
                self.dispatch.finish(self.now, UNIX, ticket, report);
                self.act();
            }
            self.now = self.now + FAR;
            self.dispatch.tick(self.now, UNIX);
            self.act();
        }
        assert!(
            self.open.is_empty(),
            "requests never ended: {:?}",
            self.open
        );
        assert_eq!(self.dispatch.waiting(), 0);
    }
}

#[test]
fn every_request_ends_once_under_any_order_of_events() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .with_iterations(5_000)
        .with_max_len(2_048)
        .for_each(|steps| {
            let mut world = World::new();
            for (kind, which, amount) in steps {
                world.step(*kind, *which, *amount);
            }
            world.end();
        });
}

#[test]
fn without_any_upstream_a_request_is_refused_at_once() {
    let mut world = World::new();
    for number in 0..UPSTREAMS {
        world.leave(number, 1);
    }
    let ask = support::ask(&world.set, "north", "book", Millis(100), 0.5);
    let ticket = world.dispatch.submit(world.now, UNIX, ask);
    let actions = world.dispatch.take_actions();
    let refused = actions.iter().any(
        |action| matches!(action, Action::Refuse(key, kind) if *key == ticket && kind.answer().ran == Ran::No),
    );
    assert!(refused, "{actions:?}");
}

#[test]
fn a_mark_of_leaving_stays_for_an_upstream_that_a_later_set_names() {
    let set = support::set(1, &Set::default());
    let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
    dispatch.mark_leaving(Millis(0), "engine-0", 0, Millis(0));
    dispatch.adopt(Millis(0), UNIX, set.clone());
    for _ in 0..SLOTS * 2 {
        let ask = support::ask(&set, "north", "chat", Millis(100), 0.5);
        dispatch.submit(Millis(0), UNIX, ask);
    }
    let leaving = set.upstreams.find("engine-0").expect("a known upstream");
    for action in dispatch.take_actions() {
        assert!(!matches!(action, Action::Grant(grant) if grant.upstream == leaving));
    }
}

#[test]
fn when_every_attempt_fails_retries_stay_inside_the_budget() {
    const REQUESTS: u64 = 200;
    let mut world = World::new();
    for _ in 0..REQUESTS {
        let deadline = world.now + FAR;
        let ask = support::ask(&world.set, "north", "book", deadline, 0.5);
        let ticket = world.dispatch.submit(world.now, UNIX, ask);
        world.open.insert(ticket);
        world.act();
        while let Some(ticket) = world.pick(0) {
            world.running.remove(&ticket);
            world.doubtful.insert(ticket);
            world.dispatch.retry(world.now, UNIX, ticket, Cause::Lost);
            // The backoff ends, so that only the budget limits retries.
            world.now = world.now + Millis(10_000);
            world.dispatch.tick(world.now, UNIX);
            world.act();
        }
    }
    assert!(world.dispatch.counters().retried >= REQUESTS / 10);
}

#[test]
fn a_single_upstream_that_failed_is_probed_before_its_pause_is_over() {
    let mut world = World::new();
    world.leave(1, 1);
    world.leave(2, 1);
    let fail = |world: &mut World| {
        let deadline = world.now + FAR;
        let ask = support::ask(&world.set, "north", "book", deadline, 1.0);
        let ticket = world.dispatch.submit(world.now, UNIX, ask);
        world.open.insert(ticket);
        world.act();
        let granted = world.running.remove(&ticket).is_some();
        world.open.remove(&ticket);
        let report = Report {
            verdict: Verdict::Fault,
            tokens: 0,
            first_token: None,
        };
        world.dispatch.finish(world.now, UNIX, ticket, report);
        granted
    };
    for _ in 0..10 {
        assert!(fail(&mut world), "the upstream was not probed");
        assert!(!fail(&mut world), "the upstream was probed again at once");
        world.now = world.now + Millis(200);
    }
}

#[test]
fn a_limited_organisation_gets_its_rate_and_no_more() {
    const SECONDS: u64 = 60;
    const RATE: u64 = 100;
    const BURST: u64 = 2 * RATE;
    const COST: u64 = 100;
    let mut world = World::new();
    let mut served = 0;
    for step in 0..SECONDS * 10 {
        world.now = Millis(step * 100);
        let ask = support::ask(&world.set, "limited", "book", world.now + FAR, 0.5);
        let ticket = world.dispatch.submit(world.now, UNIX, ask);
        world.open.insert(ticket);
        world.act();
        if world.running.remove(&ticket).is_some() {
            world.open.remove(&ticket);
            served += COST;
            let report = Report {
                verdict: Verdict::Good,
                tokens: COST,
                first_token: None,
            };
            world.dispatch.finish(world.now, UNIX, ticket, report);
        }
    }
    // A request is admitted while the bucket is not empty, so the last one may exceed the limit.
    assert!(served <= SECONDS * RATE + BURST + COST, "{served} tokens");
    assert!(served >= SECONDS * RATE, "{served} tokens");
}

#[test]
fn requests_that_run_out_of_time_in_the_queue_earn_no_credit() {
    let mut world = World::new();
    let arrive = |world: &mut World, organisation, deadline| {
        let ask = support::ask(&world.set, organisation, "book", deadline, 0.5);
        let ticket = world.dispatch.submit(world.now, UNIX, ask);
        world.open.insert(ticket);
        world.act();
        ticket
    };
    // All slots are taken and both organisations wait; most requests of `north` expire.
    let far = world.now + FAR + FAR;
    for _ in 0..SLOTS * UPSTREAMS as u64 + 4 {
        arrive(&mut world, "north", far);
    }
    let south = (0..4)
        .map(|_| arrive(&mut world, "south", far))
        .collect::<Vec<_>>();
    for _ in 0..MAX_WAITING - 8 {
        arrive(&mut world, "north", Millis(10));
    }
    world.now = Millis(20);
    world.dispatch.tick(world.now, UNIX);
    world.act();
    assert_eq!(world.dispatch.waiting(), 8);
    for _ in 0..2 {
        world.finish(0, 100);
        world.act();
    }
    let served = south
        .iter()
        .filter(|ticket| world.running.contains_key(ticket))
        .count();
    assert_eq!(served, 2, "expired requests earned `north` credit");
}

#[test]
fn moves_and_vetoes_heard_before_their_rollout_count_once_it_is_known() {
    let set = support::set(1, &Set::default());
    let key = set.rollouts.find("move").expect("a known rollout");
    let row = Move {
        status: Status::Moving,
        step: 1,
        reason: String::new(),
        at_unix_ms: UNIX,
        deadline_unix_ms: DEADLINE,
    };
    let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
    dispatch.update_move("move", &row);
    dispatch.veto("move", DEADLINE, "bad");
    dispatch.adopt(Millis(0), UNIX, set);
    let trial = &dispatch.trials()[&key];
    assert_eq!(trial.row(), Some(&row));
    assert_eq!(trial.veto_reason(), Some("bad"));
}

#[test]
fn a_request_whose_caller_went_away_costs_what_it_was_granted_for() {
    let mut world = World::new();
    let ask = support::ask(&world.set, "limited", "book", world.now + FAR, 0.5);
    let ticket = world.dispatch.submit(world.now, UNIX, ask);
    world.open.insert(ticket);
    world.act();
    assert!(world.running.remove(&ticket).is_some());
    world.open.remove(&ticket);
    world.dispatch.abandon(world.now, UNIX, ticket);
    let key = world
        .set
        .organisations
        .find("limited")
        .expect("a known organisation");
    assert_eq!(world.dispatch.usage()[&key], 100);
}
