//! Guards against a daemon that stays behind the others' configuration, and against needless fetches.

use std::net::SocketAddr;

use cactusglade_core::units::Millis;
use cactusglade_policy::lag::Lag;
use cactusglade_policy::lag::MAX_AGE;
use cactusglade_policy::lag::Notice;
use cactusglade_policy::lag::Step;

/// Time within which a change must be in force.
const APPLY_LIMIT: Millis = Millis(2_000);
/// Longest pause of a daemon that reads a storm of changes from the store.
const STORE_PAUSE: Millis = Millis(400);

fn holder(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn notice(version: u64, stated: Millis) -> Notice {
    Notice {
        version,
        holder: holder(1),
        stated,
    }
}

#[test]
fn a_daemon_that_is_behind_fetches_well_within_the_limit() {
    let mut lag = Lag::default();
    let heard = Millis(10_000);
    lag.adopt(Millis(0), 3);
    assert!(lag.record(heard, notice(4, heard)));
    assert!(!lag.record(heard, notice(5, heard)), "told once");
    let Step::Wait(at) = lag.step(heard) else {
        panic!("the daemon's own call has no time");
    };
    assert!(at - heard < Millis(APPLY_LIMIT.0 / 2));
    assert_eq!(lag.step(at), Step::Fetch(notice(5, heard)));
}

#[test]
fn a_daemon_that_reads_each_change_of_a_storm_fetches_none() {
    let mut lag = Lag::default();
    for version in 1..100 {
        let now = Millis(version * STORE_PAUSE.0);
        lag.record(now, notice(version + 1, now));
        for later in 0..STORE_PAUSE.0 {
            assert!(!matches!(lag.step(now + Millis(later)), Step::Fetch(_)));
        }
        lag.adopt(now + STORE_PAUSE, version);
    }
}

#[test]
fn a_holder_that_does_not_answer_is_asked_again_later_and_then_another_one() {
    let mut lag = Lag::default();
    lag.record(Millis(0), notice(4, Millis(0)));
    let first = Millis(1_000);
    assert!(matches!(lag.step(first), Step::Fetch(_)));
    lag.record_failure(first);
    let Step::Wait(second) = lag.step(first) else {
        panic!("the next fetch must wait");
    };
    let other = Notice {
        holder: holder(2),
        ..notice(4, second)
    };
    lag.record(second, other);
    assert_eq!(lag.step(second), Step::Fetch(other));
    lag.adopt(second, 4);
    assert_eq!(lag.step(second + APPLY_LIMIT), Step::Rest);
}

/// Any process may send a datagram; one that states a version that nobody has must not hold up the
/// versions that there are.
#[test]
fn a_version_that_nobody_states_again_is_forgotten() {
    let mut lag = Lag::default();
    lag.record(Millis(0), notice(u64::MAX, Millis(0)));
    assert_eq!(lag.step(MAX_AGE), Step::Rest);
    lag.record(MAX_AGE, notice(5, MAX_AGE));
    assert_eq!(lag.step(MAX_AGE), Step::Fetch(notice(5, MAX_AGE)));
    assert!(!lag.record(MAX_AGE + MAX_AGE, notice(6, Millis(0))));
}
