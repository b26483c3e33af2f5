//! Guards against statements of an upstream's limit that replace newer ones, and against more
//! requests than the limit allows.

// Counts of requests are small.
#![allow(clippy::cast_precision_loss)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bolero::TypeGenerator;
use bolero::produce;
use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::throttle::Layout;
use cactusglade_policy::throttle::Schedule;
use cactusglade_policy::throttle::Statement;
use cactusglade_policy::throttle::Throttle;
use cactusglade_policy::throttle::slots;

fn stated(rate: u64, at: u64) -> Statement {
    Statement {
        rate: Some(Rate(rate)),
        at: Millis(at),
    }
}

const fn unlimited(sent: u64) -> Statement {
    Statement {
        rate: None,
        at: Millis(sent),
    }
}

/// An answer without a limit overtook one that stated it, and the limit was taken to be over.
#[test]
fn a_limit_ends_with_the_answer_to_a_request_that_was_sent_after_it_was_stated() {
    let mut throttle = Throttle::default();
    assert!(!throttle.record(unlimited(900)));
    assert!(throttle.record(stated(1_000, 2_000)));
    assert!(!throttle.record(unlimited(1_990)), "sent before");
    assert_eq!(throttle.rate(), Some(Rate(1_000)));
    assert!(throttle.record(unlimited(2_100)));
    assert_eq!(throttle.rate(), None);
    assert!(!throttle.record(stated(1_000, 2_050)), "heard before");
    assert!(throttle.record(stated(500, 2_200)));
    assert!(throttle.record(stated(2_500, 2_300)), "a higher one");
}

/// A daemon that sends an upstream nothing, and missed the end of its limit, kept to it for good.
#[test]
fn a_limit_that_nobody_states_again_is_repeated_and_refuted() {
    let mut behind = Throttle::default();
    behind.record(stated(1_000, 2_000));
    assert!(!behind.is_repeat_due(Millis(4_900)));
    assert!(behind.is_repeat_due(Millis(5_000)));
    behind.record_sharing(Millis(5_000));
    assert!(!behind.is_repeat_due(Millis(5_100)));
    let mut other = Throttle::default();
    other.record(stated(1_000, 2_000));
    assert!(!other.refutes(&behind.stated()));
    other.record(unlimited(3_000));
    assert!(other.refutes(&behind.stated()));
    assert!(!behind.refutes(&other.stated()));
    assert!(behind.record(other.stated()));
}

/// Lowest rate at which an upstream is sent requests.
const LEAST_RATE: Rate = Rate(200);
/// Length of the window in which requests count, in milliseconds.
const WINDOW: u64 = 4_000;
/// Time between two attempts of a daemon that always has requests, in milliseconds.
const STEP: u64 = 20;
/// Time from a daemon's end to the moment at which all daemons of its zone know.
const DETECTION: u64 = 700;

#[derive(Clone, Debug, TypeGenerator)]
struct Scenario {
    #[generator(produce::<Vec<u8>>().with().len(1usize..=6))]
    zones: Vec<u8>,
    /// Requests per thousand seconds.
    #[generator(0..40_000u64)]
    rate: u64,
    upstream: u64,
    /// Daemon that ends, by its index among all.
    ends: u16,
    /// When it ends.
    #[generator(4_000..8_000u64)]
    at: u64,
    /// For each daemon, whether it has requests in each second.
    busy: Vec<u16>,
}

impl Scenario {
    fn zones(&self) -> BTreeMap<String, u64> {
        let counts = self.zones.iter().map(|byte| u64::from(byte % 33) + 1);
        let names = (0..).map(|number| format!("zone-{number}"));
        names.zip(counts).collect()
    }

    /// Returns the daemons in the order of their zones.
    fn daemons(&self) -> Vec<(String, SocketAddr)> {
        let zones = self.zones();
        let daemons = zones.iter().enumerate().flat_map(|(zone, (name, count))| {
            (0..*count).map(move |daemon| {
                let address = format!("10.{zone}.0.{daemon}:80");
                (name.clone(), address.parse().expect("the address is valid"))
            })
        });
        daemons.collect()
    }

    fn is_busy(&self, daemon: usize, now: u64) -> bool {
        let Some(bits) = self.busy.get(daemon % self.busy.len().max(1)) else {
            return true;
        };
        bits >> (now / 1_000 % 16) & 1 == 1
    }
}

fn layout(
    zones: &BTreeMap<String, u64>,
    daemons: &[(String, SocketAddr)],
    own: usize,
    gone: Option<usize>,
) -> Layout {
    let (zone, address) = &daemons[own];
    let mut layout = Layout::new(*address, zone);
    layout.zones.clone_from(zones);
    let neighbours = daemons
        .iter()
        .enumerate()
        .filter(|(index, (other, _))| other == zone && *index != own && gone != Some(*index));
    layout.neighbours = neighbours.map(|(_, (_, address))| *address).collect();
    layout
}

/// Plays a fleet whose daemons send whatever they may, and returns when they did, in order.
fn play(scenario: &Scenario, is_always_busy: bool) -> Vec<u64> {
    let (zones, daemons) = (scenario.zones(), scenario.daemons());
    let gone = usize::from(scenario.ends) % daemons.len();
    let mut throttles = vec![Throttle::default(); daemons.len()];
    for (own, throttle) in throttles.iter_mut().enumerate() {
        throttle.record(stated(scenario.rate, 100));
        let layout = layout(&zones, &daemons, own, None);
        throttle.allot(Millis(100), scenario.upstream, &layout);
    }
    let mut sent = Vec::new();
    for now in (100..16_000).step_by(usize::try_from(STEP).expect("it fits")) {
        for (own, throttle) in throttles.iter_mut().enumerate() {
            if own == gone && now >= scenario.at {
                continue;
            }
            // Daemons of the zone notice the end one after the other.
            let delay = DETECTION * own as u64 / daemons.len() as u64;
            let notices = scenario.at.saturating_add(delay);
            if now >= notices && now - notices < STEP {
                let layout = layout(&zones, &daemons, own, Some(gone));
                throttle.allot(Millis(now), scenario.upstream, &layout);
            }
            let has_request = is_always_busy || scenario.is_busy(own, now);
            if has_request && throttle.admits(Millis(now)) {
                throttle.take(Millis(now));
                sent.push(now);
            }
        }
    }
    sent
}

/// Each daemon kept to an upstream's limit, or to an even share saved up, and all of them together
/// sent many times what it took.
#[test]
fn a_fleet_sends_no_more_than_an_upstream_takes() {
    check::run(300, |scenario: &Scenario| {
        let sent = play(scenario, false);
        let most = (Rate(scenario.rate).per_second() * 6.0 + 5.0).floor();
        for (first, start) in sent.iter().enumerate() {
            let window = sent[first..].iter().take_while(|at| **at < start + WINDOW);
            let count = window.count();
            assert!(count as f64 <= most, "{count} requests, {most} allowed");
        }
    });
}

/// A limit that came back after its end found the shares of the one before saved up.
#[test]
fn shares_begin_empty_each_time_that_an_upstream_states_a_limit() {
    let own = "10.0.0.1:80".parse().expect("the address is valid");
    let layout = Layout::new(own, "a");
    let mut throttle = Throttle::default();
    for start in [1_000, 60_000] {
        throttle.record(stated(1_000, start));
        throttle.allot(Millis(start), 7, &layout);
        assert!(!throttle.admits(Millis(start + 900)), "from {start} on");
        assert!(throttle.admits(Millis(start + 1_100)), "from {start} on");
        throttle.record(unlimited(start + 2_000));
        throttle.allot(Millis(start + 2_000), 7, &layout);
        assert!(throttle.admits(Millis(start + 2_000)));
    }
}

/// A limit divided among more daemons than it has requests left an upstream idle.
#[test]
fn a_fleet_with_requests_sends_what_an_upstream_takes() {
    check::run(100, |scenario: &Scenario| {
        let mut lasting = scenario.clone();
        lasting.at = u64::MAX;
        let sent = play(&lasting, true);
        let rate = Rate(scenario.rate).max(LEAST_RATE);
        // A slot that can send waits for its daemon's next attempt, and one may be partly saved up.
        let waits = STEP as f64 / 1_000.0 * rate.per_second() / slots(rate) as f64;
        let least = rate.per_second() * 12.0 * (1.0 - waits) - slots(rate) as f64;
        let count = sent.iter().filter(|at| **at >= 4_000).count();
        assert!(count as f64 >= least, "{count} requests, {least} expected");
    });
}

/// All callers that were refused were told to come back at the same time, and refused again.
#[test]
fn refused_callers_return_one_after_the_other() {
    let mut schedule = Schedule::default();
    let now = Millis(1_000);
    let returns = (0..4).map(|_| schedule.admit(now, Millis(1_300), 4.0));
    let expected = [1_300, 1_550, 1_800, 2_050].map(Millis);
    assert_eq!(returns.collect::<Vec<_>>(), expected);
    assert_eq!(
        schedule.admit(Millis(9_000), Millis(9_000), 4.0),
        Millis(9_000)
    );
    let latest = (0..100).map(|_| schedule.admit(Millis(9_000), Millis(9_000), 4.0));
    assert_eq!(latest.max(), Some(Millis(14_000)));
}
