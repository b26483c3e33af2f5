//! Guards against daemons that disagree on which zones are evacuated, that follow a stale read, or
//! that forget an order when a store is restored from a copy.

use bolero::TypeGenerator;
use cactusglade_check::check;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;
use cactusglade_policy::evacuation::Register;

const fn revision(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn order(era: u64, number: u64) -> Evacuation {
    Evacuation {
        zone: "b".to_owned(),
        revision: revision(era, number),
        is_ordered: true,
    }
}

fn end(era: u64, number: u64) -> Evacuation {
    Evacuation {
        is_ordered: false,
        ..order(era, number)
    }
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    zone: u8,
    era: u8,
    number: u8,
    is_ordered: bool,
}

impl Step {
    fn statement(self) -> Evacuation {
        Evacuation {
            zone: format!("zone-{}", self.zone % 3),
            revision: revision(u64::from(self.era % 2), u64::from(self.number % 8)),
            is_ordered: self.is_ordered,
        }
    }
}

/// Daemons hear of orders in different order, late, several times, and through each other.
#[test]
fn orders_in_any_order_and_by_any_way_give_the_same_state() {
    check::run::<(Vec<Step>, Vec<u8>)>(500, |(steps, draws)| {
        let (mut first, mut second) = (Register::default(), Register::default());
        for step in steps {
            first.learn(Millis(0), &step.statement());
        }
        let mut shuffled = steps.clone();
        for (index, draw) in draws.iter().enumerate() {
            if !shuffled.is_empty() {
                let (one, other) = (index % shuffled.len(), usize::from(*draw));
                let other = other % shuffled.len();
                shuffled.swap(one, other);
            }
        }
        for step in shuffled.iter().chain(steps) {
            second.learn(Millis(0), &step.statement());
        }
        let evacuated = |one: &Register| one.evacuated().map(str::to_owned).collect::<Vec<_>>();
        assert_eq!(evacuated(&first), evacuated(&second));
        // A daemon that the store refuses learns the same from another.
        let mut cut = Register::default();
        for statement in first.take_unshared(Millis(0)) {
            cut.learn(Millis(0), &statement);
        }
        assert_eq!(evacuated(&first), evacuated(&cut));
    });
}

/// A read that lies seconds behind, or a datagram that was held up, ended an evacuation.
#[test]
fn stale_reads_and_statements_change_nothing() {
    let mut register = Register::default();
    register.read(Millis(0), revision(0, 20), &[order(0, 20)]);
    assert_eq!(register.read(Millis(10), revision(0, 15), &[]), []);
    assert_eq!(register.learn(Millis(20), &end(0, 19)), None);
    assert!(register.is_evacuated("b"));
    assert_eq!(register.learn(Millis(30), &end(0, 21)), Some(end(0, 21)));
    assert_eq!(
        register.read(Millis(40), revision(0, 20), &[order(0, 20)]),
        []
    );
    assert_eq!(register.learn(Millis(50), &order(0, 20)), None);
    assert!(!register.is_evacuated("b"));
}

/// The removal of a row was missed while the daemon had no history of the store.
#[test]
fn a_read_without_the_row_ends_the_evacuation_as_of_its_revision() {
    let mut register = Register::default();
    register.learn(Millis(0), &order(0, 5));
    let ends = register.read(Millis(10), revision(0, 9), &[]);
    assert_eq!(ends, [end(0, 9)]);
    // Another daemon has not heard of it, and repeats the order.
    assert_eq!(register.learn(Millis(20), &order(0, 5)), None);
    assert_eq!(
        register.learn(Millis(30), &order(0, 10)),
        Some(order(0, 10))
    );
}

/// A daemon that started during an evacuation sent requests into the zone, since the row was older
/// than the read.
#[test]
fn the_first_read_confirms_orders_that_are_older_than_itself() {
    let mut register = Register::default();
    let begins = register.read(Millis(0), revision(0, 30), &[order(0, 5)]);
    assert_eq!(begins, [order(0, 5)]);
    assert_eq!(
        register.read(Millis(5), revision(0, 40), &[order(0, 5)]),
        []
    );
    assert!(register.is_evacuated("b"));
}

/// A daemon started after the end of an evacuation and heard of the order from one that was cut off.
#[test]
fn an_order_that_an_earlier_read_lacks_is_not_followed() {
    let mut register = Register::default();
    register.read(Millis(0), revision(0, 9), &[]);
    assert_eq!(register.learn(Millis(20), &order(0, 5)), None);
    assert_eq!(
        register.learn(Millis(20), &order(0, 10)),
        Some(order(0, 10))
    );
}

/// The copy lacked the order, and daemons sent requests into the zone until it was written again.
#[test]
fn an_order_that_a_restored_store_lacks_stays_in_force_for_two_seconds() {
    let mut register = Register::default();
    register.read(Millis(0), revision(0, 70), &[order(0, 70)]);
    assert_eq!(register.read(Millis(1_000), revision(1, 60), &[]), []);
    // The history of the restored store does not reach back, so that it is read once more.
    assert_eq!(register.read(Millis(1_500), revision(1, 61), &[]), []);
    assert_eq!(register.settle(Millis(2_999)), []);
    assert!(register.is_evacuated("b"));
    let mut ended = register.clone();
    assert_eq!(ended.settle(Millis(3_000)), [end(1, 61)]);
    assert!(!ended.is_evacuated("b"));
    assert_eq!(ended.learn(Millis(3_100), &order(0, 70)), None);
    // Written again in time, it is not interrupted.
    assert_eq!(register.learn(Millis(2_000), &order(1, 62)), None);
    assert_eq!(register.settle(Millis(3_000)), []);
    assert!(register.is_evacuated("b"));
}

/// A daemon that started after the restoration took the copy for complete.
#[test]
fn a_new_daemon_follows_an_order_that_the_copy_lacks_for_as_long() {
    let mut register = Register::default();
    register.read(Millis(0), revision(1, 60), &[]);
    assert_eq!(
        register.learn(Millis(100), &order(0, 70)),
        Some(order(0, 70))
    );
    assert_eq!(register.settle(Millis(2_000)), [end(1, 60)]);
}

/// A daemon that was cut off for a moment, or lost a datagram, never heard of the change.
#[test]
fn what_holds_is_repeated_and_an_end_for_ten_seconds() {
    let mut register = Register::default();
    register.learn(Millis(0), &order(0, 1));
    let shared = |register: &mut Register, at: u64| register.take_unshared(Millis(at)).len();
    assert_eq!(shared(&mut register, 0), 1);
    assert_eq!(shared(&mut register, 2_900), 0);
    assert_eq!(shared(&mut register, 3_000), 1);
    assert_eq!(shared(&mut register, 60_000), 1);
    register.learn(Millis(60_100), &end(0, 2));
    let repeats = (60_100..90_000).step_by(100);
    let repeats = repeats.map(|at| shared(&mut register, at)).sum::<usize>();
    assert_eq!(repeats, 4, "at once, and after 3, 6 and 9 s");
}

/// A daemon that had been cut off during a whole evacuation followed the order of another one that
/// had been suspended since, although its own read of the store lacked the row.
#[test]
fn a_stale_order_is_not_followed_after_a_read_that_lacks_it() {
    let mut register = Register::default();
    register.learn(Millis(0), &end(1, 50));
    register.read(Millis(10), revision(1, 100), &[]);
    assert_eq!(register.learn(Millis(20), &order(1, 70)), None);
    assert!(!register.is_evacuated("b"));
}

/// The end of an evacuation is repeated for ten seconds. A daemon that is cut off for longer, and that
/// the store refuses, kept the zone empty for good.
#[test]
fn a_daemon_that_states_an_order_after_its_end_is_told_of_the_end() {
    let (mut cut, mut other) = (Register::default(), Register::default());
    cut.learn(Millis(0), &order(1, 70));
    other.learn(Millis(0), &order(1, 70));
    other.learn(Millis(5_000), &end(1, 80));
    let mut now = Millis(5_000);
    while now < Millis(30_000) {
        other.take_unshared(now);
        now = now + Millis(1_000);
    }
    for statement in cut.take_unshared(now) {
        other.learn(now, &statement);
    }
    for statement in other.take_unshared(now) {
        cut.learn(now, &statement);
    }
    assert!(!cut.is_evacuated("b"));
    for statement in [order(1, 70), order(1, 70)] {
        other.learn(now, &statement);
    }
    assert!(other.take_unshared(now).is_empty(), "answers have a bound");
}

/// A daemon that starts just after an evacuation has to treat the zone's upstreams as those do that
/// have seen it.
#[test]
fn an_end_is_a_change_where_the_order_was_missed() {
    let mut register = Register::default();
    assert_eq!(register.learn(Millis(0), &end(1, 80)), Some(end(1, 80)));
    assert_eq!(register.learn(Millis(1), &end(1, 80)), None);
}
