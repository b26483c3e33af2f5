//! Daemons that hear each other and those that are cut off stay within one quota together.

use bolero::TypeGenerator;
use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;
use cactusglade_policy::quota::Bucket;
use cactusglade_policy::quota::Tolerance;

const QUOTA: Quota = Quota {
    rate: 20_000.0,
    burst: 20_000.0,
    counts_tokens: true,
    default_units: 200,
};
const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8_000),
    overshoot: 0.1,
    slack: 140_000.0,
};
/// Units that the platform tolerates in a window.
const MOST: f64 = (20_000.0 * 8.0 + 20_000.0) * 1.1 + 140_000.0;
const DAEMONS: u64 = 8;
/// Tenths of a second for which the sides of a cut do not notice it.
const UNNOTICED: u64 = 7;
const REQUEST: f64 = 3_000.0;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Cut {
    /// Daemons on the far side.
    far: u8,
    /// When it begins, in tenths of a second.
    at: u8,
    /// How long it lasts, in tenths of a second.
    span: u8,
}

/// Two groups that each spend as fast as they may; the most that any window saw.
#[allow(clippy::cast_precision_loss)]
fn greatest_window(cut: Cut) -> f64 {
    let far = u64::from(cut.far) % DAEMONS;
    let mut near_bucket = Bucket::default();
    let mut far_bucket = Bucket::default();
    let mut spent: Vec<(u64, f64)> = Vec::new();
    let mut was_cut = false;
    near_bucket.set(Millis(0), &QUOTA, &TOLERANCE, 1.0);
    for tenth in 0..400_u64 {
        let now = Millis(tenth * 100);
        let begin = u64::from(cut.at);
        let is_cut = far > 0 && tenth >= begin && tenth < begin + u64::from(cut.span);
        if is_cut && !was_cut {
            // Those behind the cut had kept the same bucket until then.
            far_bucket = near_bucket;
        }
        if is_cut && tenth == begin + UNNOTICED {
            let share = far as f64 / DAEMONS as f64;
            near_bucket.set(now, &QUOTA, &TOLERANCE, 1.0 - share);
            far_bucket.set(now, &QUOTA, &TOLERANCE, share);
        }
        if was_cut && !is_cut {
            near_bucket.set(now, &QUOTA, &TOLERANCE, 1.0);
        }
        was_cut = is_cut;
        for _ in 0..20 {
            if near_bucket.take(now, REQUEST, false) {
                spent.push((tenth, REQUEST));
            }
            if is_cut && far_bucket.take(now, REQUEST, false) {
                spent.push((tenth, REQUEST));
            }
        }
    }
    let window = |end: u64| {
        let inside = spent.iter().filter(|(at, _)| *at <= end && *at + 80 > end);
        inside.map(|(_, units)| units).sum::<f64>()
    };
    (0..400).map(window).fold(0.0, f64::max)
}

#[test]
fn any_cut_keeps_every_window_within_what_is_tolerated() {
    bolero::check!()
        .with_type::<Cut>()
        .with_iterations(300)
        .for_each(|cut| {
            let most = greatest_window(*cut);
            assert!(most <= MOST, "{most} of {MOST} for {cut:?}");
        });
}

#[test]
fn what_is_allowed_is_used() {
    let cut = Cut {
        far: 0,
        at: 0,
        span: 0,
    };
    let nominal = QUOTA.rate * 8.0 + QUOTA.burst;
    assert!(greatest_window(cut) >= nominal);
}

/// A restarted daemon begins with a small share; a debt must not grow as its group does.
#[test]
fn a_debt_does_not_grow_with_the_share() {
    let mut bucket = Bucket::default();
    bucket.set(Millis(0), &QUOTA, &TOLERANCE, 1.0 / 9.0);
    while bucket.take(Millis(0), 10_000.0, false) {}
    bucket.set(Millis(300), &QUOTA, &TOLERANCE, 1.0);
    assert!(bucket.take(Millis(300), REQUEST, false));
}

#[test]
fn large_requests_are_not_starved_and_pay_back() {
    let mut bucket = Bucket::default();
    bucket.set(Millis(0), &QUOTA, &TOLERANCE, 0.05);
    assert!(bucket.take(Millis(0), 50_000.0, false));
    assert!(!bucket.take(Millis(100), REQUEST, false));
    assert!(bucket.wait() > Millis(1_000));
}
