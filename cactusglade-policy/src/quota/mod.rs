//! One daemon's view of an organisation's quota over all daemons.
//!
//! Daemons that reach each other share one bucket: each charges its copy with the requests that it
//! admits and with those that the others report. A partitioned group of daemons has a bucket of its
//! own, filled at the group's share of the rate. Until a partition is detected, both sides spend
//! from copies of one bucket, so the capacity is at most half of what a window tolerates beyond the
//! refill. A daemon that starts doesn't know what was spent before, so its buckets begin empty.

use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;

/// Least refill rate as a share of the quota's rate. Organisations use about half of their quota.
const MIN_RATE_SHARE: f64 = 0.85;
/// Share of the tolerated units that is used; the rest covers requests that overdraw a bucket.
const USED_SHARE: f64 = 0.96;
/// Partitions in one window for which the tolerated units suffice.
const PARTITIONS_PER_WINDOW: f64 = 2.0;
/// Share of the units beyond the least refill that each of two copies of the bucket may hold; the
/// rest goes to the refill. Requests come in bursts of several that are long, so that capacity
/// admits more of them than refill does.
const CAPACITY_SHARE: f64 = 0.35;
/// Least capacity in seconds of the rate, where the tolerated units leave less, and greatest, where
/// they leave more: the rest goes to the refill.
const MIN_CAPACITY_S: f64 = 0.1;
const MAX_CAPACITY_S: f64 = 4.0;
/// Share of the bucket's capacity below zero down to which requests without a prompt are still
/// admitted: they take few units and are answered in milliseconds.
const SMALL_REQUEST_RESERVE: f64 = 0.25;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Tolerance` is the amount by which a quota may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the window over which units are counted.
    pub window: Millis,
    /// Tolerated excess as a share of the quota.
    pub overshoot: f64,
    /// Tolerated excess in units, in addition.
    pub slack: f64,
    /// Time within which both sides of a partition detect it.
    pub detection: Millis,
}

/// `Bucket` is the token bucket of a group of daemons that reach each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    filled: Millis,
}

impl Bucket {
    /// Creates a bucket that begins empty, for an organisation that may have used its quota before
    /// this daemon started.
    #[must_use]
    pub fn empty() -> Self {
        Self::default()
    }

    /// Creates a bucket that begins full, for an organisation that has used nothing yet.
    #[must_use]
    pub fn full() -> Self {
        Self {
            level: f64::INFINITY,
            ..Self::default()
        }
    }

    /// Sets the quota, and the group's share of it from 0 to 1.
    ///
    /// A group that grows gets no units at once, since those that joined may have spent theirs.
    #[allow(clippy::cast_precision_loss)]
    pub fn configure(&mut self, now: Millis, quota: &Quota, tolerance: &Tolerance, share: f64) {
        if self.rate > 0.0 {
            self.fill(now);
        }
        self.filled = now;
        let seconds = tolerance.window.0.max(1) as f64 / MILLIS_PER_SECOND;
        let detection = tolerance.detection.0 as f64 / MILLIS_PER_SECOND;
        let nominal = quota.rate.mul_add(seconds, quota.burst);
        let tolerated = nominal * (1.0 + tolerance.overshoot) + tolerance.slack;
        // Both sides of a partition are refilled at the whole rate until they detect it.
        let refills = seconds + detection * PARTITIONS_PER_WINDOW;
        let least_rate = quota.rate * MIN_RATE_SHARE;
        let rest = (tolerated * USED_SHARE - least_rate * refills).max(0.0);
        let capacity = (rest * CAPACITY_SHARE)
            .min(quota.rate * MAX_CAPACITY_S)
            .max(quota.rate * MIN_CAPACITY_S);
        let rate = least_rate + (rest - 2.0 * capacity).max(0.0) / refills;
        let previous = std::mem::replace(&mut self.capacity, capacity * share);
        self.rate = rate * share;
        if self.level > 0.0 && self.capacity < previous {
            self.level *= self.capacity / previous;
        }
        self.level = self.level.min(self.capacity);
    }

    /// Takes units if the bucket is not empty, and returns whether it did.
    ///
    /// A request may take more units than are left, so that small requests don't starve large ones;
    /// the bucket must refill before it admits the next one.
    pub fn take(&mut self, now: Millis, units: f64, is_small: bool) -> bool {
        let allowed = self.admits(now, is_small);
        if allowed {
            self.level -= units;
        }
        allowed
    }

    /// Returns whether the bucket would admit a request now.
    pub fn admits(&mut self, now: Millis, is_small: bool) -> bool {
        self.fill(now);
        let floor = if is_small {
            -self.capacity * SMALL_REQUEST_RESERVE
        } else {
            0.0
        };
        self.level > floor
    }

    /// Charges units that another daemon of the group admitted.
    pub fn charge(&mut self, units: f64) {
        self.level -= units;
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.capacity);
    }

    /// Returns the time until the next request can be admitted.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn retry_after(&self) -> Millis {
        if self.rate <= 0.0 {
            return Millis(MILLIS_PER_SECOND as u64);
        }
        Millis(
            (-self.level)
                .max(0.0)
                .mul_add(MILLIS_PER_SECOND / self.rate, 1.0) as u64,
        )
    }

    #[allow(clippy::cast_precision_loss)]
    fn fill(&mut self, now: Millis) {
        let span = (now - self.filled).0 as f64 / MILLIS_PER_SECOND;
        self.level = (self.level + self.rate * span).min(self.capacity);
        self.filled = now;
    }
}
