//! Guards against wrong totals when heartbeats are lost, repeated or late, and against wrong roles
//! when daemons start, fail or are partitioned.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::units::Millis;
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Zone;

const PAUSE: Millis = Millis(100);

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_600))
}

fn word(number: u64, spent: u64) -> Announcement {
    Announcement {
        incarnation: 1,
        sequence: number,
        quota_used: BTreeMap::from([(7, spent)]),
        ..Announcement::default()
    }
}

fn roster() -> Roster {
    let mut roster = Roster::new("a", address(5), 1, PAUSE);
    roster.add(Millis(0), address(6), Some("a"));
    roster
}

#[test]
fn lost_repeated_and_late_words_change_no_total() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(2_000)
        .for_each(|numbers| {
            let mut roster = roster();
            let mut sum = 0;
            let mut greatest = 0;
            for number in numbers.iter().map(|number| u64::from(*number % 40) + 1) {
                // All heartbeats arrive before the sender counts as unreachable.
                let since = roster.record(Millis(1), address(6), word(number, number * 10));
                sum += since.quota_used.get(&7).copied().unwrap_or_default();
                greatest = greatest.max(number);
            }
            let first = numbers
                .first()
                .map_or(0, |number| u64::from(*number % 40) + 1);
            // The first heartbeat of a daemon that started earlier is only the base of its totals.
            let base = if first < 20 { 0 } else { first * 10 };
            assert_eq!(sum, greatest * 10 - base);
        });
}

#[test]
fn what_was_spent_behind_a_cut_is_not_charged() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), word(1, 10));
    let since = roster.record(Millis(9_000), address(6), word(90, 5_000));
    assert_eq!(since, Consumption::default());
}

#[test]
fn a_daemon_that_is_cut_off_forgets_nobody() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), word(1, 10));
    roster.expire(Millis(60_000));
    assert_eq!((roster.count(), roster.reachable(Millis(60_000))), (2, 1));
}

#[test]
fn a_daemon_that_went_is_forgotten_by_those_that_stay() {
    let mut roster = roster();
    roster.add(Millis(0), address(7), Some("a"));
    roster.add(Millis(0), address(8), Some("a"));
    for last in [6, 7, 8] {
        roster.record(Millis(0), address(last), word(1, 0));
    }
    for at in (1..300).map(|tenth| Millis(tenth * 100)) {
        roster.record(at, address(6), word(at.0, 0));
        roster.record(at, address(7), word(at.0, 0));
        roster.expire(at);
    }
    assert_eq!(roster.count(), 3);
}

#[test]
fn the_least_address_that_is_heard_speaks_for_the_zone() {
    let mut roster = roster();
    roster.add(Millis(0), address(4), Some("a"));
    roster.record(Millis(0), address(4), word(1, 0));
    assert_eq!(roster.relay(Millis(100)), Some(address(4)));
    assert!(
        roster.is_relay(Millis(5_000)),
        "the daemon becomes the relay when the other is unreachable"
    );
}

#[test]
fn a_daemon_that_started_later_does_not_take_the_ledger_over() {
    let mut roster = roster();
    roster.add(Millis(0), address(4), Some("a"));
    let later = Announcement {
        incarnation: 2,
        ..word(1, 0)
    };
    roster.record(Millis(0), address(4), later);
    assert!(
        roster.is_ledger_writer(Millis(100)),
        "the daemon that has run longest writes the ledger"
    );
    assert_eq!(roster.relay(Millis(100)), Some(address(4)));
}

#[test]
fn a_daemon_that_does_not_reach_the_store_leaves_the_ledger_to_another() {
    let mut roster = roster();
    roster.record(Millis(0), address(6), word(1, 0));
    assert!(roster.is_ledger_writer(Millis(100)));
    roster.set_store_unreachable(Millis(100), true);
    assert!(!roster.is_ledger_writer(Millis(200)));
    let cut = Announcement {
        is_store_unreachable: true,
        ..word(2, 0)
    };
    roster.record(Millis(300), address(6), cut);
    assert!(
        roster.is_ledger_writer(Millis(400)),
        "neither daemon reaches the store"
    );
    roster.record(Millis(500), address(6), word(3, 0));
    roster.set_store_unreachable(Millis(600), false);
    assert!(
        roster.is_ledger_writer(Millis(700)),
        "the daemon reaches the store again"
    );
}

#[test]
fn another_zone_counts_by_what_its_speaker_tells() {
    let mut roster = roster();
    let told = |number, spent| Zone::new(address(9), 3, 2, word(number, spent));
    roster.record_zone(Millis(0), "b", told(1, 100));
    let since = roster.record_zone(Millis(100), "b", told(2, 130));
    assert_eq!(since.quota_used, BTreeMap::from([(7, 30)]));
    assert_eq!((roster.count(), roster.reachable(Millis(100))), (4, 3));
    assert_eq!(roster.relays(Millis(100)), vec![address(9)]);
}
