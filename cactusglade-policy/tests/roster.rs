//! Guards against wrong totals when heartbeats are lost, repeated or late, and against wrong roles
//! when daemons start, fail or are partitioned.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Zone;

const INTERVAL: Millis = Millis(100);

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_600))
}

fn announcement(sequence: u64, quota_used: u64) -> Announcement {
    Announcement {
        incarnation: 1,
        sequence,
        quota_used: BTreeMap::from([(7, quota_used)]),
        ..Announcement::default()
    }
}

fn roster() -> Roster {
    let mut roster = Roster::new("a", address(5), 1, INTERVAL);
    roster.add(Millis(0), address(6), Some("a"));
    roster
}

#[test]
fn lost_repeated_and_late_heartbeats_change_no_total() {
    check::run::<Vec<u8>>(2_000, |sequences| {
        let mut roster = roster();
        let mut sum = 0;
        let mut greatest = 0;
        for sequence in sequences
            .iter()
            .map(|sequence| u64::from(*sequence % 40) + 1)
        {
            // All heartbeats arrive before the sender counts as unreachable.
            let increase =
                roster.record(Millis(1), address(6), announcement(sequence, sequence * 10));
            sum += increase.quota_used.get(&7).copied().unwrap_or_default();
            greatest = greatest.max(sequence);
        }
        let first = sequences
            .first()
            .map_or(0, |sequence| u64::from(*sequence % 40) + 1);
        // The first heartbeat of a daemon that started earlier is only the base of its totals.
        let base = if first < 20 { 0 } else { first * 10 };
        assert_eq!(sum, greatest * 10 - base);
    });
}

#[test]
fn units_used_during_a_partition_are_not_charged() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), announcement(1, 10));
    let increase = roster.record(Millis(9_000), address(6), announcement(90, 5_000));
    assert_eq!(increase, Consumption::default());
}

#[test]
fn a_partitioned_daemon_drops_no_other() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), announcement(1, 10));
    roster.expire(Millis(60_000));
    assert_eq!((roster.count(), roster.reachable(Millis(60_000))), (2, 1));
}

#[test]
fn a_stopped_daemon_is_dropped_by_the_others() {
    let mut roster = roster();
    roster.add(Millis(0), address(7), Some("a"));
    roster.add(Millis(0), address(8), Some("a"));
    for last in [6, 7, 8] {
        roster.record(Millis(0), address(last), announcement(1, 0));
    }
    for at in (1..300).map(|tenth| Millis(tenth * 100)) {
        roster.record(at, address(6), announcement(at.0, 0));
        roster.record(at, address(7), announcement(at.0, 0));
        roster.expire(at);
    }
    assert_eq!(roster.count(), 3);
}

#[test]
fn the_reachable_daemon_with_the_least_address_is_the_relay() {
    let mut roster = roster();
    roster.add(Millis(0), address(4), Some("a"));
    roster.record(Millis(0), address(4), announcement(1, 0));
    assert_eq!(roster.relay(Millis(100)), Some(address(4)));
    assert!(
        roster.is_relay(Millis(5_000)),
        "the daemon becomes the relay when the other is unreachable"
    );
}

#[test]
fn a_daemon_that_started_later_does_not_become_the_ledger_writer() {
    let mut roster = roster();
    roster.add(Millis(0), address(4), Some("a"));
    let later = Announcement {
        incarnation: 2,
        ..announcement(1, 0)
    };
    roster.record(Millis(0), address(4), later);
    assert!(
        roster.is_ledger_writer(Millis(100)),
        "the daemon that has run longest writes the ledger"
    );
    assert_eq!(roster.relay(Millis(100)), Some(address(4)));
}

#[test]
fn a_daemon_without_the_store_is_not_the_ledger_writer() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), announcement(1, 0));
    assert!(roster.is_ledger_writer(Millis(100)));
    roster.set_store_unreachable(Millis(100), true);
    assert!(!roster.is_ledger_writer(Millis(200)));
    let unreachable = Announcement {
        is_store_unreachable: true,
        ..announcement(2, 0)
    };
    roster.record(Millis(300), address(6), unreachable);
    assert!(
        roster.is_ledger_writer(Millis(400)),
        "neither daemon reaches the store"
    );
    roster.record(Millis(500), address(6), announcement(3, 0));
    roster.set_store_unreachable(Millis(600), false);
    assert!(
        roster.is_ledger_writer(Millis(700)),
        "the daemon reaches the store again"
    );
}

#[test]
fn another_zone_counts_by_the_summary_of_its_relay() {
    let mut roster = roster();
    let summary =
        |sequence, quota_used| Zone::new(address(9), 3, 2, announcement(sequence, quota_used));
    roster.record_zone(Millis(0), "b", summary(1, 100));
    let increase = roster.record_zone(Millis(100), "b", summary(2, 130));
    assert_eq!(increase.quota_used, BTreeMap::from([(7, 30)]));
    assert_eq!((roster.count(), roster.reachable(Millis(100))), (4, 3));
    assert_eq!(roster.relays(Millis(100)), vec![address(9)]);
}
