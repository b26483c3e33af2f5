//! Guards against more requests to a cold upstream than it tolerates, and against requests that wait
//! for one or are lost to it while others serve.

// Counts of requests are small.
#![allow(clippy::cast_precision_loss)]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Denied;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Options;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Transition;
use cactusglade_policy::throttle::Layout;
use cactusglade_policy::warmup::Bounds;
use cactusglade_policy::warmup::Origin;
use cactusglade_policy::warmup::Standing;
use cactusglade_policy::warmup::Warmup;

use support::pool;

/// Bounds and rate of the deployment whose upstreams are cold at times.
const BOUNDS: Bounds = Bounds {
    overshoot: 1.5,
    slack: 5.0,
};
const RATE: Rate = Rate(6_900);
const COLD_TIME: u64 = 3_000;
const DETECTION: Millis = Millis(1_200);
/// Interval between checks of the standing.
const CHECK_INTERVAL: u64 = 100;
/// Time from which on a daemon that has just started may use its shares.
const SETTLED: u64 = 3_000;

fn catalog(version: u64, cold_rate: Option<Rate>) -> Arc<Catalog> {
    let mut draft = pool::draft(pool::route());
    draft.version = version;
    draft.services[0].cold_rate = cold_rate;
    draft.services[0].cold_time = Millis(COLD_TIME);
    pool::catalog(draft)
}

fn entry(name: &str, started_unix_ms: u64, cold_left: u64) -> Change {
    pool::put(Instance {
        started_unix_ms,
        cold_left: Millis(cold_left),
        ..pool::instance(name)
    })
}

fn address(number: usize) -> SocketAddr {
    let address = format!("10.0.0.{number}:80");
    address.parse().expect("the address is valid")
}

struct Fixture {
    broker: Broker<Fastest>,
    route: arena::Route,
    now: u64,
}

impl Fixture {
    /// A daemon that knows the fleet, which is this daemon alone, and has upstreams that are warm.
    fn new(names: &[&str]) -> Self {
        Self::with_bounds(names, Some(BOUNDS))
    }

    fn with_bounds(names: &[&str], cold: Option<Bounds>) -> Self {
        let options = Options {
            cold,
            ..pool::options()
        };
        let mut broker = Broker::new(options, Fastest);
        let catalog = catalog(1, Some(RATE));
        let route = catalog.routes.find("chat").expect("the route is known");
        broker.adopt(Millis(0), catalog);
        broker.rearrange(Millis(0), Layout::new(address(1), "a"));
        broker.apply(Millis(0), names.iter().map(|name| entry(name, 1, 0)));
        let mut fixture = Self {
            broker,
            route,
            now: 0,
        };
        fixture.run_until(SETTLED);
        fixture
    }

    fn run_until(&mut self, time: u64) {
        while self.now < time {
            self.now = time.min(self.now + CHECK_INTERVAL);
            self.broker.check_cold(Millis(self.now));
        }
    }

    fn put(&mut self, name: &str, started_unix_ms: u64, cold_left: u64) {
        let change = entry(name, started_unix_ms, cold_left);
        self.broker.apply(Millis(self.now), [change]);
    }

    fn place(&mut self, prompt: Option<&Prompt>) -> Result<String, Denied> {
        let query = Query {
            route: self.route,
            organisation: None,
            prompt,
            tried: &[],
            is_retry: false,
            arrived: Millis(0),
            deadline: Millis(15_000),
            draw: 0.5,
        };
        let grant = self.broker.place(Millis(self.now), &query)?;
        let upstream = self.broker.upstream(grant.upstream);
        Ok(upstream.expect("it is known").instance.name.clone())
    }

    /// Returns when requests are placed by a daemon that always has some, until a time.
    fn placed_until(&mut self, time: u64) -> Vec<u64> {
        let mut placed = Vec::new();
        while self.now < time {
            while self.place(None).is_ok() {
                placed.push(self.now);
            }
            self.run_until(self.now + 20);
        }
        placed
    }
}

fn most_in_a_second(placed: &[u64]) -> usize {
    let counts = placed.iter().enumerate().map(|(first, start)| {
        let window = placed[first..].iter();
        window.take_while(|at| **at < start + 1_000).count()
    });
    counts.max().unwrap_or_default()
}

/// An upstream that had just started got the usual number of requests, and crashed.
#[test]
fn a_cold_upstream_gets_no_more_than_it_tolerates_and_all_of_its_rate() {
    let mut fixture = Fixture::new(&[]);
    fixture.put("i-1", 1, COLD_TIME);
    let start = fixture.now;
    let placed = fixture.placed_until(start + COLD_TIME - 20);
    let most = most_in_a_second(&placed);
    assert!(most as f64 <= BOUNDS.requests(RATE), "{most}");
    let least = RATE.per_second() * COLD_TIME as f64 / 1_000.0 - 2.0;
    assert!(placed.len() as f64 >= least, "{} requests", placed.len());
    fixture.run_until(start + COLD_TIME);
    assert!((0..30).all(|_| fixture.place(None).is_ok()), "it is warm");
}

/// The slots and a second of the rate were together above the bound for some settings.
#[test]
fn slots_and_refill_stay_within_the_bounds_for_all_settings() {
    for rate in (0..400).map(|step| Rate(step * 97 + 1)) {
        for overshoot in [1.0, 1.1, 1.5, 4.0] {
            for slack in [0.0, 0.5, 1.0, 2.0, 5.0, 40.0] {
                let bounds = Bounds { overshoot, slack };
                let most = bounds.requests(rate);
                let sent = bounds.slots(rate) as f64 + bounds.refill(rate);
                assert!(sent <= most.max(1.0), "{bounds:?} {rate:?}: {sent}");
            }
        }
    }
    assert_eq!(BOUNDS.slots(RATE), 6);
    let refill = BOUNDS.refill(RATE);
    assert!((refill - RATE.per_second()).abs() < 1e-9, "{refill}");
}

/// A session whose preferred upstream was cold waited for it, or was refused, while others served.
#[test]
fn requests_of_a_session_go_elsewhere_while_its_upstream_is_cold() {
    let names = ["i-1", "i-2", "i-3"];
    let mut fixture = Fixture::new(&names);
    let prompt = Prompt {
        parts: vec![
            Part {
                id: 1,
                tokens: 5_000,
            },
            Part { id: 2, tokens: 10 },
        ],
        input_tokens: 5_010,
        max_output_tokens: 100,
    };
    let preferred = fixture.place(Some(&prompt)).expect("all are warm");
    fixture.put(&preferred, 1, COLD_TIME);
    for _ in 0..20 {
        let chosen = fixture.place(Some(&prompt)).expect("two are warm");
        assert_ne!(chosen, preferred, "its share begins empty");
    }
}

/// Callers were told to come back while no upstream could take them, or all at the same time.
#[test]
fn where_all_are_cold_callers_return_one_after_the_other() {
    let mut fixture = Fixture::new(&["i-1"]);
    fixture.put("i-1", 1, COLD_TIME);
    let denials = (0..4).map(|_| fixture.place(None).expect_err("its share is empty"));
    let denials = denials.collect::<Vec<_>>();
    assert!(denials.iter().all(|one| one.reason == Some(Reason::Cold)));
    let waits = denials
        .iter()
        .map(|one| one.retry_after.expect("it is known"));
    let waits = waits.map(|wait| wait.0).collect::<Vec<_>>();
    assert_eq!(waits[0], 145, "a request at 6.9 a second");
    assert!(waits.is_sorted_by(|one, next| one < next), "{waits:?}");
    assert!(waits[3] < 1_000, "{waits:?}: as fast as its share allows");
    // Where this daemon owns no slot, its callers return at the end of the cold time.
    let mut layout = Layout::new(address(1), "a");
    layout.zones.insert("b".to_owned(), 100_000);
    fixture.broker.rearrange(Millis(fixture.now), layout);
    let denied = fixture.place(None).expect_err("it has no slot");
    assert_eq!(denied.retry_after, Some(Millis(COLD_TIME)));
    let later = fixture.place(None).expect_err("it has no slot");
    assert!(later.retry_after > denied.retry_after);
}

/// An upstream that restarted under its name, or turned cold again, counted as warm.
#[test]
fn upstreams_turn_cold_again_and_the_later_end_counts() {
    let mut fixture = Fixture::new(&["i-1"]);
    let start = fixture.now;
    fixture.put("i-1", 1, 2_000);
    // A copy of the store has an old entry, and one that states nothing ends nothing.
    fixture.put("i-1", 1, 500);
    fixture.put("i-1", 1, 0);
    assert!(fixture.place(None).is_err());
    fixture.run_until(start + 1_990);
    assert_eq!(fixture.broker.cold_upstreams(), 1);
    fixture.run_until(start + 2_000);
    assert_eq!(fixture.broker.cold_upstreams(), 0);
    assert!((0..30).all(|_| fixture.place(None).is_ok()));
    // What was saved up in the first cold time doesn't count in the second one.
    fixture.put("i-1", 1, 2_000);
    assert!(fixture.place(None).is_err(), "cold again");
    fixture.run_until(start + 5_000);
    fixture.put("i-1", 2, 2_000);
    assert!(fixture.place(None).is_err(), "another start");
    fixture.put("i-1", 3, u64::MAX);
    fixture.run_until(start + 64_990);
    assert_eq!(fixture.broker.cold_upstreams(), 1);
    fixture.run_until(start + 65_000);
    assert_eq!(fixture.broker.cold_upstreams(), 0, "a minute at most");
}

/// Upstreams of a zone that came back got full load, although they had turned cold meanwhile.
#[test]
fn upstreams_of_a_zone_are_presumed_cold_for_their_whole_cold_time() {
    let mut fixture = Fixture::new(&["i-1"]);
    let start = fixture.now;
    fixture.broker.presume_cold(Millis(start), "b");
    assert_eq!(fixture.broker.cold_upstreams(), 0);
    fixture.broker.presume_cold(Millis(start), "a");
    let turns = fixture.broker.take_transitions();
    assert!(matches!(
        turns[..],
        [Transition::Cold(_, Origin::Evacuation)]
    ));
    fixture.put("i-1", 1, 0);
    assert!(fixture.place(None).is_err(), "an entry doesn't end it");
    fixture.run_until(start + 1_000);
    fixture.put("i-1", 1, COLD_TIME);
    fixture.run_until(start + 1_000 + COLD_TIME - 1);
    assert_eq!(
        fixture.broker.cold_upstreams(),
        1,
        "a longer time extends it"
    );
    fixture.run_until(start + 1_000 + COLD_TIME);
    assert!(matches!(
        fixture.broker.take_transitions()[..],
        [Transition::Warm(_)]
    ));
}

/// Deployments without the settings, and services without a cold rate, were served differently.
#[test]
fn without_settings_or_a_rate_no_upstream_is_cold() {
    let mut fixture = Fixture::with_bounds(&["i-1"], None);
    fixture.put("i-1", 1, COLD_TIME);
    fixture.broker.presume_cold(Millis(fixture.now), "a");
    assert!((0..50).all(|_| fixture.place(None).is_ok()));
    let mut fixture = Fixture::new(&["i-1"]);
    let now = Millis(fixture.now);
    fixture.broker.adopt(now, catalog(2, None));
    fixture.put("i-1", 1, COLD_TIME);
    assert!((0..50).all(|_| fixture.place(None).is_ok()));
    fixture.broker.adopt(now, catalog(3, Some(RATE)));
    assert!(fixture.place(None).is_err(), "the rate is in force at once");
}

/// A daemon that had been suspended sent what it had saved up meanwhile, by a division that was no
/// longer in force; one that had just started took the whole fleet's share for its own.
#[test]
fn shares_are_used_only_by_daemons_that_know_the_fleet() {
    let mut fixture = Fixture::new(&["i-1"]);
    fixture.put("i-1", 1, 60_000);
    fixture.run_until(fixture.now + 2_000);
    assert!(fixture.place(None).is_ok());
    fixture.now += 5_000;
    assert!(fixture.place(None).is_err(), "before the next check");
    fixture.run_until(fixture.now + 100);
    assert!(fixture.place(None).is_err(), "after it");
    fixture.run_until(fixture.now + 2 * DETECTION.0 + 200);
    assert!(fixture.place(None).is_ok(), "it knows the fleet again");
    let mut standing = Standing::default();
    let alone = Layout::new(address(1), "a");
    standing.check(Millis(100), DETECTION, Some(&alone), 0.1);
    assert_eq!(standing.valid_until(), Millis(0), "just started");
}

/// Both sides took over the slots of the other: a daemon that lost the others for long, and these.
#[test]
fn a_daemon_that_lost_the_others_gives_its_shares_up_before_they_take_them() {
    let mut layout = Layout::new(address(1), "a");
    layout.zone_members = (2..5).map(address).collect();
    layout.zones.insert("a".to_owned(), 4);
    layout.neighbours = layout.zone_members.clone();
    let mut standing = Standing::default();
    let mut lost_at = None;
    for now in (0..60_000).step_by(100) {
        let is_cut = now >= 10_000;
        if is_cut {
            layout.neighbours.clear();
        }
        let share = if is_cut { 0.25 } else { 1.0 };
        standing.check(Millis(now), DETECTION, Some(&layout), share);
        if is_cut && standing.valid_until() <= Millis(now) {
            lost_at.get_or_insert(now);
        }
    }
    let lost_at = lost_at.expect("it gives its shares up");
    // The others drop a daemon that has been silent for 20 s.
    assert!((20_000..30_000).contains(&lost_at), "{lost_at}");
    // A zone that is cut off as a whole keeps its slots.
    layout.neighbours = layout.zone_members.clone();
    for now in (60_000..120_000).step_by(100) {
        standing.check(Millis(now), DETECTION, Some(&layout), 0.1);
    }
    assert!(standing.valid_until() > Millis(119_900));
}

/// Daemons took over the slots of a neighbour that was silent for a second, which still used them.
#[test]
fn slots_stay_with_daemons_and_zones_that_can_not_be_reached() {
    let mut layout = Layout::new(address(1), "a");
    layout.zone_members = (2..5).map(address).collect();
    layout.neighbours = layout.zone_members.clone();
    layout.zones = [("a".to_owned(), 4), ("b".to_owned(), 12)].into();
    layout.listed = [("a".to_owned(), 3), ("b".to_owned(), 9)].into();
    for upstream in 0..50 {
        let share = layout.lasting_share(upstream, 6);
        let mut apart = layout.clone();
        apart.neighbours.clear();
        apart.zones.remove("b");
        apart.listed.insert("b".to_owned(), 12);
        let lasting = apart.lasting_share(upstream, 6);
        assert!((share - lasting).abs() < 1e-9, "{share} {lasting}");
    }
}

/// A request was granted after the share was used up by others of the same daemon.
#[test]
fn each_request_is_taken_from_the_share() {
    let mut warmup = Warmup::default();
    warmup.extend(Millis(1_000), Millis(10_000));
    let layout = Layout::new(address(1), "a");
    let upstream = 7;
    warmup.allot(Millis(1_000), Some(RATE), &BOUNDS, upstream, Some(&layout));
    warmup.confirm(Millis(1_000), Millis(60_000));
    assert!(!warmup.admits(Millis(1_000)), "it begins empty");
    let now = Millis(5_000);
    let taken = std::iter::repeat_with(|| warmup.admits(now).then(|| warmup.take(now)));
    assert_eq!(taken.map_while(|one| one).count(), 6, "one for each slot");
    assert_eq!(warmup.wait(now), Millis(145));
    assert_eq!(warmup.wait(Millis(10_990)), Millis(0));
}
