//! Guards against statements of an upstream's limit that replace newer ones, and against more
//! requests than the limit allows.

use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::throttle::Statement;
use cactusglade_policy::throttle::Throttle;

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
