//! Guards against lost or doubly ended requests, requests to leaving upstreams or vetoed versions,
//! too many retries, and errors that state "not run" although a request may have run.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cactusglade_check::check;
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
const UNIX_TIME: Millis = Millis(10);
const FAR_FUTURE: Millis = Millis(1_000_000);

/// A dispatch together with the test's own record of its requests.
struct Simulation {
    dispatch: Dispatch<Cheapest>,
    set: Arc<Set>,
    now: Millis,
    open: BTreeSet<arena::Ticket>,
    running: BTreeMap<arena::Ticket, Grant>,
    may_have_run: BTreeSet<arena::Ticket>,
    leaving: BTreeSet<arena::Upstream>,
    vetoed: bool,
}

impl Simulation {
    fn new() -> Self {
        let set = support::set(1, &Set::default());
        let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
        dispatch.adopt(Millis(0), UNIX_TIME, set.clone());
        Self {
            dispatch,
            set,
            now: Millis(0),
            open: BTreeSet::new(),
            running: BTreeMap::new(),
            may_have_run: BTreeSet::new(),
            leaving: BTreeSet::new(),
            vetoed: false,
        }
    }

    fn step(&mut self, kind: u8, selector: u8, amount: u8) {
        let number = usize::from(selector);
        match kind % 10 {
            0..=2 => self.submit(number, amount),
            3 | 4 => self.finish(number, amount),
            5 => self.retry(number, amount),
            6 if amount < 32 => self.mark_leaving(number, amount),
            7 => {
                self.now = self.now + Millis(u64::from(amount) * 20);
                self.dispatch.tick(self.now, UNIX_TIME);
            }
            8 if amount < 16 => self.adopt(),
            9 => self.update_rollout(amount),
            _ => {}
        }
        self.carry_out_actions();
    }

    fn submit(&mut self, number: usize, amount: u8) {
        let (organisation, route) = (ORGANISATIONS[number % 2], ROUTES[number % 3]);
        let deadline = self.now + Millis(u64::from(amount) * 40);
        let draw = f64::from(amount) / 255.0;
        let submission = support::submission(&self.set, organisation, route, deadline, draw);
        let ticket = self.dispatch.submit(self.now, UNIX_TIME, submission);
        assert!(self.open.insert(ticket), "the ticket is already in use");
    }

    fn pick_running(&self, number: usize) -> Option<arena::Ticket> {
        let running = self.running.keys().copied().collect::<Vec<_>>();
        (!running.is_empty()).then(|| running[number % running.len()])
    }

    fn finish(&mut self, number: usize, amount: u8) {
        let Some(ticket) = self.pick_running(number) else {
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
        self.dispatch.finish(self.now, UNIX_TIME, ticket, report);
    }

    fn retry(&mut self, number: usize, amount: u8) {
        let Some(ticket) = self.pick_running(number) else {
            return;
        };
        let causes = [Cause::Refused, Cause::Lost, Cause::Broken, Cause::Leaving];
        let cause = causes[usize::from(amount) % 4];
        if cause != Cause::Refused {
            self.may_have_run.insert(ticket);
        }
        self.running.remove(&ticket);
        self.dispatch.retry(self.now, UNIX_TIME, ticket, cause);
    }

    fn mark_leaving(&mut self, number: usize, amount: u8) {
        let kind = if amount.is_multiple_of(2) {
            "engine"
        } else {
            "service"
        };
        let name = format!("{kind}-{}", number % UPSTREAMS);
        let gone = self.now + Millis(u64::from(amount) * 100);
        self.dispatch.mark_leaving(self.now, &name, 0, gone);
        self.leaving.insert(
            self.set
                .upstreams
                .find(&name)
                .expect("the set has the upstream"),
        );
    }

    fn adopt(&mut self) {
        let generation = self.set.generation.0;
        let older = support::set(generation, &self.set);
        assert!(
            !self.dispatch.adopt(self.now, UNIX_TIME, older),
            "an object set of the same generation was adopted"
        );
        self.set = support::set(generation + 1, &self.set);
        assert!(self.dispatch.adopt(self.now, UNIX_TIME, self.set.clone()));
    }

    fn update_rollout(&mut self, amount: u8) {
        if amount < 8 {
            self.dispatch.veto("move", DEADLINE, "bad");
            self.vetoed = true;
        } else {
            let row = Move {
                status: Status::Moving,
                step: u64::from(amount % 2),
                reason: String::new(),
                at_unix_ms: UNIX_TIME,
                deadline_unix_ms: DEADLINE,
            };
            self.dispatch.update_move("move", &row);
        }
    }

    fn carry_out_actions(&mut self) {
        for action in self.dispatch.take_actions() {
            match action {
                Action::Grant(grant) => self.record_grant(grant),
                Action::Refuse(ticket, kind) => {
                    assert!(self.open.remove(&ticket), "the request had already ended");
                    assert!(!self.running.contains_key(&ticket));
                    let may_have_run = self.may_have_run.contains(&ticket);
                    assert!(!(may_have_run && kind.answer().ran == Ran::No), "{kind:?}");
                }
                Action::Move(ticket) => {
                    let grant = self
                        .running
                        .get(&ticket)
                        .expect("a moved request is running");
                    assert!(self.leaving.contains(&grant.upstream));
                }
                Action::Veto(_) => self.vetoed = true,
            }
        }
        self.check();
    }

    fn record_grant(&mut self, grant: Grant) {
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
    fn drain(&mut self) {
        let mut rounds = 0;
        while !self.open.is_empty() && rounds < 1_000 {
            rounds += 1;
            while let Some(ticket) = self.pick_running(0) {
                self.running.remove(&ticket);
                self.open.remove(&ticket);
                let report = Report {
                    verdict: Verdict::Good,
                    tokens: 1,
                    first_token: None,
                };
                self.dispatch.finish(self.now, UNIX_TIME, ticket, report);
                self.carry_out_actions();
            }
            self.now = self.now + FAR_FUTURE;
            self.dispatch.tick(self.now, UNIX_TIME);
            self.carry_out_actions();
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
    check::run::<Vec<(u8, u8, u8)>>(5_000, |steps| {
        let mut simulation = Simulation::new();
        for (kind, selector, amount) in steps {
            simulation.step(*kind, *selector, *amount);
        }
        simulation.drain();
    });
}

#[test]
fn without_any_upstream_a_request_is_refused_at_once() {
    let mut simulation = Simulation::new();
    for number in 0..UPSTREAMS {
        simulation.mark_leaving(number, 1);
    }
    let submission = support::submission(&simulation.set, "north", "book", Millis(100), 0.5);
    let ticket = simulation
        .dispatch
        .submit(simulation.now, UNIX_TIME, submission);
    let actions = simulation.dispatch.take_actions();
    let refused = actions.iter().any(
        |action| matches!(action, Action::Refuse(key, kind) if *key == ticket && kind.answer().ran == Ran::No),
    );
    assert!(refused, "{actions:?}");
}

#[test]
fn an_upstream_marked_as_leaving_stays_so_in_a_later_set() {
    let set = support::set(1, &Set::default());
    let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
    dispatch.mark_leaving(Millis(0), "engine-0", 0, Millis(0));
    dispatch.adopt(Millis(0), UNIX_TIME, set.clone());
    for _ in 0..SLOTS * 2 {
        let submission = support::submission(&set, "north", "chat", Millis(100), 0.5);
        dispatch.submit(Millis(0), UNIX_TIME, submission);
    }
    let leaving = set
        .upstreams
        .find("engine-0")
        .expect("the set has the upstream");
    for action in dispatch.take_actions() {
        assert!(!matches!(action, Action::Grant(grant) if grant.upstream == leaving));
    }
}

#[test]
fn when_every_attempt_fails_retries_stay_inside_the_budget() {
    const REQUESTS: u64 = 200;
    let mut simulation = Simulation::new();
    for _ in 0..REQUESTS {
        let deadline = simulation.now + FAR_FUTURE;
        let submission = support::submission(&simulation.set, "north", "book", deadline, 0.5);
        let ticket = simulation
            .dispatch
            .submit(simulation.now, UNIX_TIME, submission);
        simulation.open.insert(ticket);
        simulation.carry_out_actions();
        while let Some(ticket) = simulation.pick_running(0) {
            simulation.running.remove(&ticket);
            simulation.may_have_run.insert(ticket);
            simulation
                .dispatch
                .retry(simulation.now, UNIX_TIME, ticket, Cause::Lost);
            // The backoff ends, so that only the budget limits retries.
            simulation.now = simulation.now + Millis(10_000);
            simulation.dispatch.tick(simulation.now, UNIX_TIME);
            simulation.carry_out_actions();
        }
    }
    assert!(simulation.dispatch.counters().retried >= REQUESTS / 10);
}

#[test]
fn the_only_upstream_is_probed_before_its_backoff_ends() {
    let mut simulation = Simulation::new();
    simulation.mark_leaving(1, 1);
    simulation.mark_leaving(2, 1);
    let fail = |simulation: &mut Simulation| {
        let deadline = simulation.now + FAR_FUTURE;
        let submission = support::submission(&simulation.set, "north", "book", deadline, 1.0);
        let ticket = simulation
            .dispatch
            .submit(simulation.now, UNIX_TIME, submission);
        simulation.open.insert(ticket);
        simulation.carry_out_actions();
        let was_granted = simulation.running.remove(&ticket).is_some();
        simulation.open.remove(&ticket);
        let report = Report {
            verdict: Verdict::Fault,
            tokens: 0,
            first_token: None,
        };
        simulation
            .dispatch
            .finish(simulation.now, UNIX_TIME, ticket, report);
        was_granted
    };
    for _ in 0..10 {
        assert!(fail(&mut simulation), "the upstream was not probed");
        assert!(
            !fail(&mut simulation),
            "the upstream was probed again at once"
        );
        simulation.now = simulation.now + Millis(200);
    }
}

#[test]
fn a_limited_organisation_gets_its_rate_and_no_more() {
    const SECONDS: u64 = 60;
    const RATE: u64 = 100;
    const BURST: u64 = 2 * RATE;
    const COST: u64 = 100;
    let mut simulation = Simulation::new();
    let mut served = 0;
    for step in 0..SECONDS * 10 {
        simulation.now = Millis(step * 100);
        let submission = support::submission(
            &simulation.set,
            "limited",
            "book",
            simulation.now + FAR_FUTURE,
            0.5,
        );
        let ticket = simulation
            .dispatch
            .submit(simulation.now, UNIX_TIME, submission);
        simulation.open.insert(ticket);
        simulation.carry_out_actions();
        if simulation.running.remove(&ticket).is_some() {
            simulation.open.remove(&ticket);
            served += COST;
            let report = Report {
                verdict: Verdict::Good,
                tokens: COST,
                first_token: None,
            };
            simulation
                .dispatch
                .finish(simulation.now, UNIX_TIME, ticket, report);
        }
    }
    // A request is admitted while the bucket is not empty, so the last one may exceed the limit.
    assert!(
        served <= SECONDS * RATE + BURST + COST,
        "{served} tokens were served in {SECONDS} s"
    );
    assert!(
        served >= SECONDS * RATE,
        "{served} tokens were served in {SECONDS} s"
    );
}

#[test]
fn requests_that_expire_in_the_queue_earn_no_credit() {
    let mut simulation = Simulation::new();
    let submit = |simulation: &mut Simulation, organisation, deadline| {
        let submission = support::submission(&simulation.set, organisation, "book", deadline, 0.5);
        let ticket = simulation
            .dispatch
            .submit(simulation.now, UNIX_TIME, submission);
        simulation.open.insert(ticket);
        simulation.carry_out_actions();
        ticket
    };
    // All slots are taken and both organisations wait; most requests of `north` expire.
    let far = simulation.now + FAR_FUTURE + FAR_FUTURE;
    for _ in 0..SLOTS * UPSTREAMS as u64 + 4 {
        submit(&mut simulation, "north", far);
    }
    let south = (0..4)
        .map(|_| submit(&mut simulation, "south", far))
        .collect::<Vec<_>>();
    for _ in 0..MAX_WAITING - 8 {
        submit(&mut simulation, "north", Millis(10));
    }
    simulation.now = Millis(20);
    simulation.dispatch.tick(simulation.now, UNIX_TIME);
    simulation.carry_out_actions();
    assert_eq!(simulation.dispatch.waiting(), 8);
    for _ in 0..2 {
        simulation.finish(0, 100);
        simulation.carry_out_actions();
    }
    let served = south
        .iter()
        .filter(|ticket| simulation.running.contains_key(ticket))
        .count();
    assert_eq!(served, 2, "expired requests earned `north` credit");
}

#[test]
fn moves_and_vetoes_received_before_their_rollout_apply_to_it() {
    let set = support::set(1, &Set::default());
    let key = set.rollouts.find("move").expect("the set has the rollout");
    let row = Move {
        status: Status::Moving,
        step: 1,
        reason: String::new(),
        at_unix_ms: UNIX_TIME,
        deadline_unix_ms: DEADLINE,
    };
    let mut dispatch = Dispatch::new("a", Cheapest, MAX_WAITING);
    dispatch.update_move("move", &row);
    dispatch.veto("move", DEADLINE, "bad");
    dispatch.adopt(Millis(0), UNIX_TIME, set);
    let trial = &dispatch.trials()[&key];
    assert_eq!(trial.row(), Some(&row));
    assert_eq!(trial.veto_reason(), Some("bad"));
}

#[test]
fn a_request_whose_caller_disconnected_costs_its_estimate() {
    let mut simulation = Simulation::new();
    let submission = support::submission(
        &simulation.set,
        "limited",
        "book",
        simulation.now + FAR_FUTURE,
        0.5,
    );
    let ticket = simulation
        .dispatch
        .submit(simulation.now, UNIX_TIME, submission);
    simulation.open.insert(ticket);
    simulation.carry_out_actions();
    assert!(simulation.running.remove(&ticket).is_some());
    simulation.open.remove(&ticket);
    simulation
        .dispatch
        .abandon(simulation.now, UNIX_TIME, ticket);
    let key = simulation
        .set
        .organisations
        .find("limited")
        .expect("the set has the organisation");
    assert_eq!(simulation.dispatch.usage()[&key], 100);
}
