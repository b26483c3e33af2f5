//! Guards against use beyond the tolerated quota when the daemons are partitioned into two groups.

use bolero::TypeGenerator;
use cactusglade_check::check;
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
/// The quota of the largest organisation of a fleet of 195 daemons.
const LARGE_QUOTA: Quota = Quota {
    rate: 788_776.0,
    burst: 788_776.0,
    ..QUOTA
};
/// A quota that an operator has lowered.
const SMALL_QUOTA: Quota = Quota {
    rate: 5_000.0,
    burst: 5_000.0,
    ..QUOTA
};
/// Detection in a zone with 36 daemons, where the heartbeat interval is longer than in a small one.
const TOLERANCE: Tolerance = Tolerance {
    window: Millis(8_000),
    overshoot: 0.1,
    slack: 140_000.0,
    detection: Millis(1_200),
};
/// Detection in a small zone.
const SMALL_ZONE: Tolerance = Tolerance {
    detection: Millis(800),
    ..TOLERANCE
};

/// Returns the units that the platform tolerates per window.
fn max_units(quota: &Quota) -> f64 {
    (quota.rate * 8.0 + quota.burst) * 1.1 + TOLERANCE.slack
}

const DAEMONS: u64 = 8;
const REQUEST_UNITS: f64 = 3_000.0;
/// Length of a simulation in tenths of a second.
const TENTHS: u64 = 300;
/// Latest start and longest duration of the partitions that are all simulated, in tenths of a
/// second; a window has 80.
const MAX_TENTHS: u8 = 90;

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Partition {
    /// Number of daemons on the far side.
    far: u8,
    /// Start, in tenths of a second after the end of the previous partition.
    at: u8,
    /// Duration, in tenths of a second.
    span: u8,
}

/// `Simulation` lets two groups of daemons spend as fast as their buckets allow.
struct Simulation {
    quota: Quota,
    tolerance: Tolerance,
    near: Bucket,
    far: Bucket,
    /// Units spent in each tenth of a second.
    spent: Vec<f64>,
}

impl Simulation {
    fn new(quota: Quota, tolerance: Tolerance) -> Self {
        let mut near = Bucket::full();
        near.configure(Millis(0), &quota, &tolerance, 1.0);
        Self {
            quota,
            tolerance,
            near,
            far: near,
            spent: Vec::new(),
        }
    }

    /// Simulates a tenth of a second; the far group is `None` while there is no partition.
    fn spend(&mut self, is_partitioned: bool) {
        let now = Millis(self.spent.len() as u64 * 100);
        let mut units = 0.0;
        while self.near.take(now, REQUEST_UNITS, false) {
            units += REQUEST_UNITS;
        }
        while is_partitioned && self.far.take(now, REQUEST_UNITS, false) {
            units += REQUEST_UNITS;
        }
        self.spent.push(units);
    }

    fn configure(&mut self, near_share: f64, far_share: f64) {
        let now = Millis(self.spent.len() as u64 * 100);
        let (quota, tolerance) = (&self.quota, &self.tolerance);
        self.near.configure(now, quota, tolerance, near_share);
        self.far.configure(now, quota, tolerance, far_share);
    }

    #[allow(clippy::cast_precision_loss)]
    fn partition(&mut self, partition: Partition) {
        let far = u64::from(partition.far) % DAEMONS;
        for _ in 0..partition.at {
            self.spend(false);
        }
        if far == 0 {
            return;
        }
        // Both sides had the same bucket until the partition.
        self.far = self.near;
        for tenth in 0..u64::from(partition.span) {
            if tenth == self.tolerance.detection.0 / 100 {
                let share = far as f64 / DAEMONS as f64;
                self.configure(1.0 - share, share);
            }
            self.spend(true);
        }
        self.configure(1.0, 1.0);
    }

    /// Returns the most units spent in any window, after the rest of the simulation without
    /// partitions.
    fn max_units_in_any_window(mut self) -> f64 {
        while (self.spent.len() as u64) < TENTHS {
            self.spend(false);
        }
        let window = usize::try_from(TOLERANCE.window.0 / 100).expect("the window is short");
        let windows = self.spent.windows(window);
        windows
            .map(|window| window.iter().sum())
            .fold(0.0, f64::max)
    }
}

fn max_units_with(quota: &Quota, tolerance: &Tolerance, partitions: &[Partition]) -> f64 {
    let mut simulation = Simulation::new(*quota, *tolerance);
    for partition in partitions {
        simulation.partition(*partition);
    }
    simulation.max_units_in_any_window()
}

fn check_partitions(partitions: &[Partition]) {
    for quota in [SMALL_QUOTA, QUOTA, LARGE_QUOTA] {
        for tolerance in [SMALL_ZONE, TOLERANCE] {
            let units = max_units_with(&quota, &tolerance, partitions);
            let tolerated = max_units(&quota);
            assert!(
                units <= tolerated,
                "{units} units, {tolerated} tolerated, for {partitions:?} of {quota:?}"
            );
        }
    }
}

#[test]
fn any_cut_keeps_every_window_within_what_is_tolerated() {
    for far in 1..u8::try_from(DAEMONS).expect("the fleet is small") {
        for at in 0..=MAX_TENTHS {
            for span in 0..=MAX_TENTHS {
                check_partitions(&[Partition { far, at, span }]);
            }
        }
    }
}

#[test]
fn two_cuts_keep_every_window_within_what_is_tolerated() {
    check::run::<[Partition; 2]>(2_000, |partitions| check_partitions(partitions));
}

/// Each daemon of the fleet restarts once within a window; the reports of what it admitted reach
/// the daemons that run.
#[test]
fn restarts_of_all_daemons_keep_every_window_within_what_is_tolerated() {
    check::run::<[u8; 8]>(2_000, |restarts| {
        let mut bucket = Bucket::full();
        bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0);
        let mut buckets = [bucket; 8];
        let mut units = 0.0;
        for tenth in 0..80_u64 {
            let now = Millis(tenth * 100);
            for daemon in 0..buckets.len() {
                if u64::from(restarts[daemon]) % 80 == tenth {
                    buckets[daemon] = Bucket::empty();
                    buckets[daemon].configure(now, &QUOTA, &TOLERANCE, 1.0);
                }
                while buckets[daemon].take(now, REQUEST_UNITS, false) {
                    units += REQUEST_UNITS;
                    for (other, bucket) in buckets.iter_mut().enumerate() {
                        if other != daemon {
                            bucket.charge(REQUEST_UNITS);
                        }
                    }
                }
            }
        }
        let tolerated = max_units(&QUOTA);
        assert!(
            units <= tolerated,
            "{units} units, {tolerated} tolerated, for {restarts:?}"
        );
    });
}

#[test]
fn the_allowed_units_are_used() {
    let nominal = QUOTA.rate * 8.0 + QUOTA.burst;
    assert!(max_units_with(&QUOTA, &TOLERANCE, &[]) >= nominal);
}

/// What is tolerated beyond a small quota is many times its rate; it is used while an organisation
/// asks for it all the time.
#[test]
fn the_tolerated_units_of_a_small_quota_are_refilled() {
    let tolerated = max_units(&SMALL_QUOTA);
    let units = max_units_with(&SMALL_QUOTA, &SMALL_ZONE, &[]);
    assert!(units >= tolerated * 0.7, "{units} of {tolerated}");
}

/// Traffic begins ten seconds or more after a calm start of all daemons.
#[test]
fn the_burst_of_the_quota_is_admitted_after_a_calm_start() {
    let mut bucket = Bucket::empty();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0 / 9.0);
    bucket.configure(Millis(1_000), &QUOTA, &TOLERANCE, 1.0);
    assert!(bucket.take(Millis(10_000), QUOTA.burst, false));
    assert!(bucket.take(Millis(10_000), REQUEST_UNITS, false));
}

/// An organisation that uses half of its rate is not refused for long after a restart of all
/// daemons.
#[test]
fn use_below_the_quota_is_admitted_after_a_restart() {
    let mut bucket = Bucket::empty();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0);
    let interval = 300_u64;
    let refused = (1..40).filter(|step| {
        let now = Millis(step * interval);
        !bucket.take(now, REQUEST_UNITS, false)
    });
    assert_eq!(refused.count(), 0);
}

/// A restarted daemon starts with a small share; a negative level must not grow with the share.
#[test]
fn a_negative_level_does_not_grow_with_the_share() {
    let mut bucket = Bucket::full();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0 / 9.0);
    while bucket.take(Millis(0), 10_000.0, false) {}
    bucket.configure(Millis(600), &QUOTA, &TOLERANCE, 1.0);
    assert!(bucket.take(Millis(1_100), REQUEST_UNITS, false));
}

/// Daemons that join a group may have spent their share, so the group's bucket gets no units for
/// them.
#[test]
fn a_group_that_grows_gets_no_units_at_once() {
    let mut bucket = Bucket::full();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 0.5);
    while bucket.take(Millis(0), REQUEST_UNITS, false) {}
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 1.0);
    assert!(!bucket.take(Millis(0), REQUEST_UNITS, false));
}

#[test]
fn large_requests_are_not_starved_and_delay_the_next() {
    let mut bucket = Bucket::full();
    bucket.configure(Millis(0), &QUOTA, &TOLERANCE, 0.05);
    assert!(bucket.take(Millis(0), 50_000.0, false));
    assert!(!bucket.take(Millis(100), REQUEST_UNITS, false));
    assert!(bucket.retry_after() > Millis(1_000));
}
