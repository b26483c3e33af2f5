//! Guards against calls to the provider by two holders of the lease in turn, which suspensions,
//! restarts, delays and restorations of the store could cause.

use std::cell::Cell;
use std::collections::BTreeMap;

use cactusglade_check::check;
use cactusglade_core::revision::Revision;
use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;
use cactusglade_policy::lease::Election;
use cactusglade_policy::lease::Outcome;
use cactusglade_policy::lease::Step;
use cactusglade_policy::lease::TIMING;
use cactusglade_policy::lease::Timing;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MACHINES: usize = 3;
const DURATION: Millis = Millis(60_000);
/// The platform's limit within which two holders must not act in turn.
const ALTERNATION: Millis = Millis(3_000);
/// Greatest delay between the check of the lease and the arrival of a call: the earliest successor
/// acts a term after the renewal, and the last check succeeds a margin before.
const CALL_DELAY: Millis = TIMING.margin;
/// Greatest age of what a read returns.
const STALENESS: u64 = 3_000;
/// Greatest delay of a write, of an answer and of a heartbeat.
const DELAY: u64 = 6_000;
const HEARTBEAT_TIMEOUT: Millis = Millis(1_500);
const MAX_PATIENCE: u64 = 2_000;

const _: () = assert!(TIMING.term.0 >= ALTERNATION.0);

/// `Version` is the state of the store at some time.
#[derive(Clone)]
struct Version {
    since: Millis,
    row: Option<Row>,
    /// Revision of the row, or of its absence.
    revision: Revision,
    /// Number of the last change of any row.
    number: u64,
}

#[derive(Clone, Copy)]
struct Call {
    machine: usize,
    token: u64,
    tenure: u64,
    until: Millis,
    /// Number of calls of the round after this one.
    remaining: u64,
}

/// What happens on a machine, later where that is paused, and never after a restart.
enum Local {
    Round,
    Read(Option<(Option<Row>, Revision)>),
    Written(Millis, Row, Outcome),
    Heartbeat(usize, Option<Row>),
    /// Checks the lease, then calls the provider.
    Call(Call),
}

enum Event {
    Local(usize, u64, Local),
    Apply(usize, u64, Millis, Row, Revision),
    Arrive(Call),
    Pause(usize, Millis),
    Restart(usize),
    Restore,
}

struct Machine {
    election: Election,
    incarnation: u64,
    paused_until: Millis,
    /// Leases in the heartbeats of each machine, with the time of arrival.
    heard: Vec<(Millis, Option<Row>)>,
}

struct Simulation {
    now: Millis,
    random: StdRng,
    /// Events by time and order.
    events: BTreeMap<(Millis, u64), Event>,
    order: u64,
    machines: Vec<Machine>,
    /// Versions of the store, the last of which is the truth.
    versions: Vec<Version>,
    /// Calls at the provider by time: machine and token.
    arrived: Vec<(Millis, usize, u64)>,
    changes_of_holder: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let is_restored = random.random_bool(0.5);
        let empty = Version {
            since: Millis(0),
            row: None,
            revision: Revision {
                era: u64::from(is_restored),
                number: 0,
            },
            number: 0,
        };
        let mut simulation = Self {
            now: Millis(0),
            random,
            events: BTreeMap::new(),
            order: 0,
            machines: Vec::new(),
            versions: vec![empty],
            arrived: Vec::new(),
            changes_of_holder: 0,
        };
        for machine in 0..MACHINES {
            let started = simulation.machine(machine, 0);
            simulation.machines.push(started);
            simulation.schedule(Millis(0), Event::Local(machine, 0, Local::Round));
        }
        for _ in 0..simulation.random.random_range(0..12) {
            let at = Millis(simulation.random.random_range(0..DURATION.0));
            let machine = simulation.random.random_range(0..MACHINES);
            let event = match simulation.random.random_range(0..4) {
                0 => Event::Restart(machine),
                1 if is_restored => Event::Restore,
                _ => Event::Pause(machine, Millis(simulation.random.random_range(100..9_000))),
            };
            simulation.schedule(at, event);
        }
        simulation
    }

    fn machine(&mut self, machine: usize, incarnation: u64) -> Machine {
        let timing = Timing {
            patience: Millis(self.random.random_range(0..MAX_PATIENCE)),
            ..TIMING
        };
        Machine {
            election: Election::new(&format!("{machine}/{incarnation}"), timing),
            incarnation,
            paused_until: Millis(0),
            heard: vec![(Millis(0), None); MACHINES],
        }
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn schedule_local(&mut self, delay: Millis, machine: usize, local: Local) {
        let incarnation = self.machines[machine].incarnation;
        let event = Event::Local(machine, incarnation, local);
        self.schedule(self.now + delay, event);
    }

    /// Draws a short delay, or now and then one of up to `most`, or `most` itself.
    fn delay(&mut self, most: u64) -> Millis {
        Millis(match self.random.random_range(0..20) {
            0 => most,
            1 => self.random.random_range(0..=most),
            _ => self.random.random_range(0..=most.min(30)),
        })
    }

    /// Draws a delay that ends before the lease lapses.
    fn delay_before(&mut self, until: Millis) -> Millis {
        self.delay((until - self.now).0.saturating_sub(1))
    }

    fn run(&mut self) {
        while let Some(((at, order), event)) = self.events.pop_first() {
            if at >= DURATION {
                return;
            }
            self.now = at;
            match event {
                Event::Local(machine, incarnation, local) => {
                    let state = &self.machines[machine];
                    if state.incarnation != incarnation {
                        continue;
                    }
                    if at < state.paused_until {
                        let event = Event::Local(machine, incarnation, local);
                        self.events.insert((state.paused_until, order), event);
                        continue;
                    }
                    self.step(machine, local);
                }
                Event::Apply(machine, incarnation, sent, row, expected) => {
                    let outcome = self.apply(&row, expected);
                    // A lost answer ends the call at a time limit.
                    let is_lost = self.random.random_bool(0.1);
                    let outcome = if is_lost { Outcome::Unknown } else { outcome };
                    let delay = self.delay(DELAY);
                    let local = Local::Written(sent, row, outcome);
                    self.schedule(at + delay, Event::Local(machine, incarnation, local));
                }
                Event::Arrive(call) => self.arrive(&call),
                Event::Pause(machine, duration) => {
                    self.machines[machine].paused_until = at + duration;
                }
                Event::Restart(machine) => {
                    let incarnation = self.machines[machine].incarnation + 1;
                    self.machines[machine] = self.machine(machine, incarnation);
                    let delay = self.delay(DELAY);
                    self.schedule_local(delay, machine, Local::Round);
                }
                Event::Restore => self.restore(),
            }
        }
    }

    fn step(&mut self, machine: usize, local: Local) {
        let now = self.now;
        let state = &mut self.machines[machine];
        let step = match local {
            Local::Heartbeat(sender, lease) => {
                state.heard[sender] = (now, lease);
                return;
            }
            Local::Call(call) => {
                self.call(call);
                return;
            }
            Local::Round => {
                let heard = state.heard.iter();
                let heard = heard.filter(|(at, _)| now - *at < HEARTBEAT_TIMEOUT);
                let heard = heard.filter_map(|(_, lease)| lease.clone());
                let observed = heard.max_by_key(|lease| (lease.epoch, lease.renewal));
                state.election.begin(now, observed)
            }
            Local::Read(Some((row, revision))) => state.election.read(now, row, revision),
            Local::Read(None) => Step::Wait,
            Local::Written(sent, row, outcome) => {
                state.election.written(sent, row, &outcome);
                Step::Wait
            }
        };
        match step {
            Step::Wait => self.act(machine),
            Step::Read => {
                let is_lost = self.random.random_bool(0.1);
                let read = self.read();
                let delay = self.delay(DELAY);
                self.schedule_local(delay, machine, Local::Read((!is_lost).then_some(read)));
            }
            Step::Write(row, revision) => {
                let delay = self.delay(DELAY);
                let incarnation = self.machines[machine].incarnation;
                // The process may stand still between the decision and the sending.
                let event = Event::Apply(machine, incarnation, now, row, revision);
                self.schedule(now + delay, event);
            }
        }
    }

    /// Sends heartbeats, and calls the provider where the lease is held.
    fn act(&mut self, machine: usize) {
        let election = &self.machines[machine].election;
        let lease = election.held_lease(self.now);
        let token = election.lease().epoch(self.now);
        let tenure = election.lease().tenure();
        let until = election.lease().held_until(self.now);
        if let Some((token, until)) = token.zip(until) {
            let remaining = self.random.random_range(0..3);
            let call = Call {
                machine,
                token,
                tenure,
                until,
                remaining,
            };
            let delay = self.delay_before(until);
            self.schedule_local(delay, machine, Local::Call(call));
        } else {
            self.end_round(machine);
        }
        for receiver in 0..MACHINES {
            // A relay may send a machine its own lease.
            if self.random.random_bool(0.7) {
                let delay = self.delay(DELAY);
                let heartbeat = Local::Heartbeat(machine, lease.clone());
                self.schedule_local(delay, receiver, heartbeat);
            }
        }
    }

    fn end_round(&mut self, machine: usize) {
        let interval = Millis(self.random.random_range(320..480));
        self.schedule_local(interval, machine, Local::Round);
    }

    /// Calls the provider while the lease is held, waits for the answer until it lapses, and goes on
    /// with the round.
    fn call(&mut self, call: Call) {
        if self.now >= call.until {
            self.end_round(call.machine);
            return;
        }
        let delay = self.delay(CALL_DELAY.0);
        self.schedule(self.now + delay, Event::Arrive(call));
        let wait = delay.min(call.until - self.now);
        if let Some(remaining) = call.remaining.checked_sub(1) {
            let next = Local::Call(Call { remaining, ..call });
            let pause = self.delay_before(call.until);
            self.schedule_local(wait + pause, call.machine, next);
        } else {
            let interval = Millis(self.random.random_range(320..480));
            self.schedule_local(wait + interval, call.machine, Local::Round);
        }
    }

    fn truth(&self) -> &Version {
        self.versions.last().expect("the first version stays")
    }

    /// Reads the row, at times as it was before; the era may be that of now.
    fn read(&mut self) -> (Option<Row>, Revision) {
        let age = self.delay(STALENESS);
        let as_of = self.now - age;
        let version = self.versions.iter().rfind(|version| version.since <= as_of);
        let version = version.unwrap_or(&self.versions[0]).clone();
        let era = if self.random.random_bool(0.5) {
            self.truth().revision.era
        } else {
            version.revision.era
        };
        let revision = Revision {
            era,
            ..version.revision
        };
        (version.row, revision)
    }

    fn apply(&mut self, row: &Row, expected: Revision) -> Outcome {
        let truth = self.truth();
        if truth.revision.number != expected.number {
            return Outcome::Denied;
        }
        let number = truth.number + 1;
        let revision = Revision {
            number,
            ..truth.revision
        };
        self.versions.push(Version {
            since: self.now,
            row: Some(row.clone()),
            revision,
            number,
        });
        if revision.era == expected.era {
            Outcome::Applied(revision)
        } else {
            Outcome::Unknown
        }
    }

    /// Goes back to an earlier version in another era, and gives the numbers after it out again.
    fn restore(&mut self) {
        let copy = self.random.random_range(0..self.versions.len());
        let copy = self.versions[copy].clone();
        let era = self.truth().revision.era + 1;
        self.versions.push(Version {
            since: self.now,
            revision: Revision {
                era,
                ..copy.revision
            },
            ..copy
        });
    }

    fn arrive(&mut self, call: &Call) {
        let Call {
            machine,
            token,
            tenure,
            ..
        } = *call;
        let at = self.now;
        if let Some((_, last, greatest)) = self.arrived.last().copied() {
            assert!(
                token > greatest || (token == greatest && machine == last),
                "at {at:?} token {token} by {machine} after {greatest} by {last}"
            );
            self.changes_of_holder += u64::from(machine != last);
        }
        let mut others = self.arrived.iter().rev();
        let others = others
            .by_ref()
            .take_while(|(_, other, _)| *other != machine);
        let between = others.count();
        let before = self.arrived.iter().rev().nth(between);
        if let Some((before, _, _)) = before.filter(|_| between > 0) {
            assert!(
                at - *before >= ALTERNATION,
                "{machine} at {before:?} and {at:?}, and another between"
            );
        }
        let other = self.arrived.iter().rev().find(|call| call.1 != machine);
        assert!(
            other.is_none_or(|(_, _, token)| *token < tenure),
            "{machine} holds the lease since {tenure}, another acted with {other:?}"
        );
        self.arrived.push((at, machine, token));
    }
}

/// Two holders acted in turn within the platform's limit.
#[test]
fn no_two_machines_act_in_turn_under_suspensions_restarts_delays_and_restorations() {
    let changes_of_holder = Cell::new(0);
    let runs = 5_000;
    check::run::<u64>(runs, |seed| {
        let mut simulation = Simulation::new(*seed);
        simulation.run();
        changes_of_holder.set(changes_of_holder.get() + simulation.changes_of_holder);
    });
    let changes_of_holder = changes_of_holder.get();
    assert!(changes_of_holder >= runs, "{changes_of_holder} changes");
}

/// A write that was delayed across a restoration replaced the row of the holder of after it, since
/// the revision had been given out again; the next holder got the same token.
#[test]
fn no_token_is_given_out_twice_where_a_write_is_delayed_across_a_restoration() {
    Simulation::new(2_387_379_848_005_974_940).run();
}
