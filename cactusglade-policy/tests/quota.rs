//! Guards against use beyond the tolerated quota when the daemons are partitioned into two groups.

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
/// Units that the platform tolerates per window.
const MAX_UNITS: f64 = (20_000.0 * 8.0 + 20_000.0) * 1.1 + 140_000.0;
const DAEMONS: u64 = 8;
/// Time until both sides detect a partition, in tenths of a second.
const DETECTION_TENTHS: u64 = 7;
const REQUEST_UNITS: f64 = 3_000.0;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Partition {
    /// Number of daemons on the far side.
    far: u8,
    /// Start, in tenths of a second.
    at: u8,
    /// Duration, in tenths of a second.
    span: u8,
}

/// Returns the most units in any window while two groups spend as fast as their buckets allow.
#[allow(clippy::cast_precision_loss)]
fn max_units_in_any_window(partition: Partition) -> f64 {
    let far = u64::from(partition.far) % DAEMONS;
    let mut near_bucket = Bucket::default();
    let mut far_bucket = Bucket::default();
    let mut spent: Vec<(u64, f64)> = Vec::new();
    let mut was_partitioned = false;
    near_bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0);
    for tenth in 0..400_u64 {
        let now = Millis(tenth * 100);
        let start = u64::from(partition.at);
        let is_partitioned = far > 0 && tenth >= start && tenth < start + u64::from(partition.span);
        if is_partitioned && !was_partitioned {
            // Both sides had the same bucket until the partition.
            far_bucket = near_bucket;
        }
        if is_partitioned && tenth == start + DETECTION_TENTHS {
            let share = far as f64 / DAEMONS as f64;
            near_bucket.configure(now, &QUOTA, &TOLERANCE, 1.0 - share);
            far_bucket.configure(now, &QUOTA, &TOLERANCE, share);
        }
        if was_partitioned && !is_partitioned {
            near_bucket.configure(now, &QUOTA, &TOLERANCE, 1.0);
        }
        was_partitioned = is_partitioned;
        for _ in 0..20 {
            if near_bucket.take(now, REQUEST_UNITS, false) {
                spent.push((tenth, REQUEST_UNITS));
            }
            if is_partitioned && far_bucket.take(now, REQUEST_UNITS, false) {
                spent.push((tenth, REQUEST_UNITS));
            }
        }
    }
    let window = |end: u64| {
        let in_window = spent.iter().filter(|(at, _)| *at <= end && *at + 80 > end);
        in_window.map(|(_, units)| units).sum::<f64>()
    };
    (0..400).map(window).fold(0.0, f64::max)
}

#[test]
fn any_cut_keeps_every_window_within_what_is_tolerated() {
    bolero::check!()
        .with_type::<Partition>()
        .with_iterations(300)
        .for_each(|partition| {
            let units = max_units_in_any_window(*partition);
            assert!(
                units <= MAX_UNITS,
                "{units} units, {MAX_UNITS} tolerated, for {partition:?}"
            );
        });
}

#[test]
fn the_allowed_units_are_used() {
    let partition = Partition {
        far: 0,
        at: 0,
        span: 0,
    };
    let nominal = QUOTA.rate * 8.0 + QUOTA.burst;
    assert!(max_units_in_any_window(partition) >= nominal);
}

/// A restarted daemon starts with a small share; a negative level must not grow with the share.
#[test]
fn a_negative_level_does_not_grow_with_the_share() {
    let mut bucket = Bucket::default();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0 / 9.0);
    while bucket.take(Millis(0), 10_000.0, false) {}
    bucket.configure(Millis(300), &QUOTA, &TOLERANCE, 1.0);
    assert!(bucket.take(Millis(300), REQUEST_UNITS, false));
}

#[test]
fn large_requests_are_not_starved_and_delay_the_next() {
    let mut bucket = Bucket::default();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 0.05);
    assert!(bucket.take(Millis(0), 50_000.0, false));
    assert!(!bucket.take(Millis(100), REQUEST_UNITS, false));
    assert!(bucket.retry_after() > Millis(1_000));
}
