//! Guards against neighbours that get what a relay forwards twice or not at all.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_policy::relay::fanout;
use cactusglade_policy::relay::fanout::Guard;
use cactusglade_policy::relay::fanout::Plan;
use cactusglade_policy::relay::fanout::Planner;

const INTERVAL: Millis = Millis(475);

fn neighbours(count: u8) -> Vec<SocketAddr> {
    let numbers = 1..=count;
    numbers
        .map(|number| SocketAddr::from(([10, 0, 0, number], 7_600)))
        .collect()
}

/// Returns a planner to which all of these neighbours have stated that they pass datagrams on.
fn planner(now: Millis, ready: &[SocketAddr]) -> Planner {
    let mut planner = Planner::default();
    for address in ready {
        planner.record_ready(now, *address);
    }
    planner
}

fn forwarders(plan: &Plan) -> BTreeSet<SocketAddr> {
    let branches = plan.branches.iter();
    branches.map(|branch| branch.forwarder).collect()
}

/// A neighbour in no list, or in two, or one of an earlier build in a list.
#[test]
fn each_neighbour_gets_each_datagram_once_and_earlier_builds_from_the_relay() {
    check::run::<(u64, Vec<bool>)>(2_000, |(draw, builds)| {
        let all = neighbours(75);
        let is_ready = |number: usize| builds.get(number).copied().unwrap_or(true);
        let ready = (0..75).filter(|number| is_ready(*number));
        let ready = ready.map(|number| all[number]).collect::<BTreeSet<_>>();
        let mut planner = planner(Millis(0), &Vec::from_iter(ready.clone()));
        let plan = planner.plan(Millis(1), INTERVAL, &all, *draw);
        let mut reached = plan.direct.clone();
        for branch in &plan.branches {
            assert!(ready.contains(&branch.forwarder));
            assert!(branch.list.iter().all(|address| ready.contains(address)));
            reached.push(branch.forwarder);
            reached.extend(&branch.list);
        }
        reached.sort();
        assert_eq!(reached, all);
        assert_eq!(plan.direct.len(), 75 - ready.len());
        let count = plan.branches.len();
        assert!(count * count >= ready.len() && (count - 1).pow(2) < ready.len());
        let lengths = plan.branches.iter().map(|branch| branch.list.len());
        let (least, greatest) = (lengths.clone().min(), lengths.max());
        assert!(greatest <= least.map(|least| least + 1));
    });
}

/// A slow neighbour that keeps its role delays the datagrams of its list for as long as it runs.
#[test]
fn forwarding_neighbours_change_every_two_seconds_and_not_before() {
    let all = neighbours(75);
    let mut planner = planner(Millis(0), &all);
    let first = planner.plan(Millis(0), INTERVAL, &all, 1).clone();
    for at in [700, 1_400] {
        for address in &all {
            planner.record_ready(Millis(at), *address);
        }
        assert_eq!(planner.plan(Millis(at), INTERVAL, &all, 2), &first);
    }
    let next = planner.plan(Millis(2_000), INTERVAL, &all, 2);
    assert_eq!(next.branches.len(), 9);
    assert_ne!(forwarders(next), forwarders(&first));
}

/// The list of a neighbour that has ended gets nothing until it is replaced.
#[test]
fn a_silent_forwarding_neighbour_is_replaced_before_the_two_seconds_are_over() {
    let all = neighbours(75);
    let mut planner = planner(Millis(0), &all);
    let ended = planner.plan(Millis(0), INTERVAL, &all, 1).branches[0].forwarder;
    for address in all.iter().filter(|address| **address != ended) {
        planner.record_ready(Millis(475), *address);
    }
    let plan = planner.plan(Millis(950), INTERVAL, &all, 2);
    assert!(!forwarders(plan).contains(&ended));
    assert_eq!(plan.direct, vec![ended]);
}

/// A daemon that has left would be in a list, and one that has come in none.
#[test]
fn a_plan_ends_when_neighbours_come_or_leave() {
    let all = neighbours(75);
    let mut planner = planner(Millis(0), &all);
    planner.plan(Millis(0), INTERVAL, &all[1..], 1);
    let plan = planner.plan(Millis(1), INTERVAL, &all[..74], 1);
    let count = plan.branches.len() + plan.listed() + plan.direct.len();
    assert_eq!(count, 74);
}

/// In a small zone a second hop costs time and saves nothing that matters.
#[test]
fn forty_daemons_and_fewer_get_everything_from_the_relay() {
    for count in [0, 1, 39] {
        let all = neighbours(count);
        let mut planner = planner(Millis(0), &all);
        let plan = planner.plan(Millis(0), INTERVAL, &all, 1);
        assert_eq!((plan.branches.len(), &plan.direct), (0, &all));
    }
    let all = neighbours(40);
    assert_eq!(
        planner(Millis(0), &all)
            .plan(Millis(0), INTERVAL, &all, 1)
            .branches
            .len(),
        7
    );
}

/// A new relay would send everything itself for two seconds, in the midst of a failure.
#[test]
fn the_relay_and_its_successor_are_told_who_passes_datagrams_on() {
    let all = neighbours(75);
    let told = |own: usize| {
        let others = all.iter().copied().filter(|address| *address != all[own]);
        fanout::relays(all[own], others).collect::<Vec<_>>()
    };
    assert_eq!(told(0), Vec::new());
    assert_eq!(told(1), all[..1]);
    assert_eq!(told(40), all[..2]);
    // A plan without forwarding neighbours does not stand for its two seconds.
    let mut planner = Planner::default();
    assert_eq!(planner.plan(Millis(0), INTERVAL, &all, 1).branches.len(), 0);
    for address in &all {
        planner.record_ready(Millis(100), *address);
    }
    let plan = planner.plan(Millis(100), INTERVAL, &all, 1);
    assert_eq!(plan.branches.len(), 9);
}

/// What waited in the socket of a suspended daemon would reach its list as if it were new.
#[test]
fn a_daemon_passes_nothing_on_that_arrived_while_it_was_suspended() {
    let mut guard = Guard::default();
    assert!(guard.passes(Millis(0), INTERVAL));
    guard.tick(Millis(0), INTERVAL);
    guard.tick(Millis(500), INTERVAL);
    assert!(guard.passes(Millis(1_000), INTERVAL));
    // The datagrams are read before the tick that is overdue, or after it.
    assert!(!guard.passes(Millis(3_500), INTERVAL));
    guard.tick(Millis(3_500), INTERVAL);
    assert!(!guard.passes(Millis(3_510), INTERVAL));
    assert!(guard.passes(Millis(3_800), INTERVAL));
}

/// A whole list would read the store at the same moment.
#[test]
fn daemons_of_a_large_zone_read_the_store_at_times_of_their_own() {
    let spans = [0.0, 0.5, 1.0].map(|draw| fanout::forward_timeout(true, draw));
    assert_eq!(spans, [Millis(300), Millis(450), Millis(600)]);
    assert_eq!(fanout::forward_timeout(false, 0.5), Millis(300));
}
