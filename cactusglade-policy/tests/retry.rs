//! Guards against retries beyond their budget, and against requests to an upstream that backs off.

use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_policy::retry::Backoff;
use cactusglade_policy::retry::Budget;

#[test]
fn retries_stay_under_a_fifth_of_new_requests_plus_a_constant() {
    check::run::<Vec<bool>>(5_000, |steps| {
        let mut budget = Budget::default();
        let (mut requests, mut retries) = (0_u64, 0_u64);
        for retry in steps {
            if *retry {
                retries += u64::from(budget.withdraw());
            } else {
                budget.deposit();
                requests += 1;
            }
            assert!(retries <= 10 + requests / 5);
        }
    });
}

#[test]
fn daemons_return_to_an_upstream_at_different_times() {
    let mut ends = Vec::new();
    for draw in [0.0, 0.5, 1.0] {
        let mut backoff = Backoff::default();
        backoff.record_failure(Millis(0), draw);
        assert!(!backoff.is_over(Millis(0)));
        ends.push((0..10_000).find(|now| backoff.is_over(Millis(*now))));
    }
    assert!(ends[0] < ends[1] && ends[1] < ends[2], "{ends:?}");
}

#[test]
fn a_success_ends_the_backoff() {
    let mut backoff = Backoff::default();
    for _ in 0..100 {
        backoff.record_failure(Millis(0), 1.0);
    }
    assert!(backoff.is_over(Millis(5_000)));
    backoff.record_success();
    assert!(backoff.is_over(Millis(0)));
}
