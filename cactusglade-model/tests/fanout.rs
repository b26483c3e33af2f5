//! Guards against a relay of a large zone that sends more than its link carries, and against lists of
//! daemons that miss for long what a failed neighbour should have passed on.

use cactusglade_model::fanout;
use cactusglade_model::fanout::Fault;
use cactusglade_model::fanout::Outcome;
use cactusglade_model::fanout::Scenario;

/// Number of seeds that are played unless [`SEEDS_VARIABLE`] states another one.
const SEEDS: u64 = 2;
/// Environment variable with the number of seeds.
const SEEDS_VARIABLE: &str = "CACTUSGLADE_FANOUT_SEEDS";
/// Time within which a change of the registry is in force everywhere.
const MAX_CHANGE_MS: u64 = 2_000;
/// Time without summaries after which the other zones count as unreachable.
const SUMMARY_TIMEOUT_MS: u64 = 2_100;

const SCENARIO: Scenario = Scenario {
    daemons: 76,
    earlier: 0,
    loss: 0.01,
    fault: None,
    seed: 0,
};

fn for_each_seed(check: impl Fn(u64)) {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.map_or(SEEDS, |text| text.parse().expect("it is a number"));
    (0..seeds).for_each(check);
}

fn greatest<T: Ord>(outcomes: &[Outcome], value: impl Fn(&Outcome) -> T) -> Option<T> {
    let running = outcomes.iter().filter(|one| !one.has_failed);
    running.map(value).max()
}

fn print(name: &str, outcomes: &[Outcome]) {
    let others = &outcomes[1..];
    println!(
        "{name}: relay sends {} and forwards {} B/s; others send {:?}, pass on {:?}, at most {:?} \
         B/s in one second, heartbeats {:?} B/s; changes {:?} ms, summaries {:?} ms, sets {:?} ms old, {:?} of \
         {} missed; {} reads of the store",
        outcomes[0].sent,
        outcomes[0].forwarded,
        greatest(others, |one| one.sent),
        greatest(others, |one| one.forwarded),
        greatest(others, |one| one.peak),
        greatest(others, |one| one.heartbeats),
        greatest(outcomes, |one| one.change_ms),
        greatest(outcomes, |one| one.gap_ms),
        greatest(outcomes, |one| one.oldest_ms),
        greatest(others, |one| one.missed),
        outcomes[0].sets,
        outcomes.iter().map(|one| one.reads).sum::<u64>(),
    );
}

/// The relay of 75 neighbours offered its link half as much again as it carries, and registry
/// changes were in force seconds late.
#[test]
fn the_relay_sends_a_quarter_and_changes_are_in_force_within_two_seconds() {
    for_each_seed(|seed| {
        let scenario = Scenario { seed, ..SCENARIO };
        let before = fanout::play(Scenario {
            earlier: 76,
            ..scenario
        });
        print(&format!("seed {seed} without"), &before);
        let after = fanout::play(scenario);
        print(&format!("seed {seed} with"), &after);
        assert!(after[0].sent * 4 <= before[0].sent, "seed {seed}");
        // The relay doesn't send to itself.
        for one in &after[1..] {
            assert!(one.change_ms <= MAX_CHANGE_MS, "seed {seed}: {one:?}");
            assert!(one.missed * 20 < one.sets, "seed {seed}: {one:?}");
        }
    });
}

/// The daemons in the list of a neighbour that has ended would take the other zones for unreachable,
/// and miss the upstreams that leave.
#[test]
fn the_end_of_a_forwarding_neighbour_changes_nothing_for_long() {
    for_each_seed(|seed| {
        let outcomes = fanout::play(Scenario {
            fault: Some(Fault::ForwarderEnds),
            seed,
            ..SCENARIO
        });
        print(&format!("seed {seed}, a neighbour ends"), &outcomes);
        let affected = outcomes.iter().filter(|one| one.is_affected);
        let affected = affected.collect::<Vec<_>>();
        assert!((7..=8).contains(&affected.len()), "{}", affected.len());
        for one in affected {
            println!("  in its list: {one:?}");
        }
        for one in outcomes.iter().filter(|one| !one.has_failed) {
            assert!(one.change_ms <= MAX_CHANGE_MS, "seed {seed}: {one:?}");
            assert!(one.gap_ms < SUMMARY_TIMEOUT_MS, "seed {seed}: {one:?}");
        }
    });
}

/// A suspended neighbour finds the datagrams of its suspension in its socket, and would give its list
/// loads that are seconds old as new ones.
#[test]
fn a_suspended_neighbour_passes_nothing_old_on() {
    for_each_seed(|seed| {
        let outcomes = fanout::play(Scenario {
            fault: Some(Fault::ForwarderSuspended(3_000)),
            seed,
            ..SCENARIO
        });
        print(&format!("seed {seed}, a neighbour is suspended"), &outcomes);
        for one in outcomes.iter().filter(|one| !one.has_failed) {
            assert!(one.oldest_ms < 1_500, "seed {seed}: {one:?}");
            assert!(one.change_ms <= MAX_CHANGE_MS, "seed {seed}: {one:?}");
        }
    });
}

/// An earlier build drops the new kind of datagram; in a list or as a forwarding neighbour it would
/// get nothing, or give nothing to others.
#[test]
fn a_daemon_of_an_earlier_build_gets_everything_from_the_relay() {
    for_each_seed(|seed| {
        let outcomes = fanout::play(Scenario {
            earlier: 1,
            seed,
            ..SCENARIO
        });
        print(&format!("seed {seed}, one earlier build"), &outcomes);
        for one in &outcomes[1..] {
            assert!(one.missed * 20 < one.sets, "seed {seed}: {one:?}");
            assert!(
                !one.is_earlier || one.forwarded == 0,
                "seed {seed}: {one:?}"
            );
        }
    });
}

/// A small zone must not change: its relay has the bandwidth, and a second hop costs time.
#[test]
fn a_zone_of_forty_daemons_is_served_as_before() {
    let scenario = Scenario {
        daemons: 40,
        ..SCENARIO
    };
    let mut before = fanout::play(Scenario {
        earlier: 40,
        ..scenario
    });
    for one in &mut before {
        one.is_earlier = false;
    }
    assert_eq!(fanout::play(scenario), before);
}

/// The next relay knows no forwarding neighbours at first and would send to all neighbours for long.
#[test]
fn the_next_relay_chooses_forwarding_neighbours_of_its_own() {
    for_each_seed(|seed| {
        let outcomes = fanout::play(Scenario {
            fault: Some(Fault::RelayEnds),
            seed,
            ..SCENARIO
        });
        print(&format!("seed {seed}, the relay ends"), &outcomes);
        assert!(outcomes[1].peak < 1_000_000, "{:?}", outcomes[1]);
    });
}
