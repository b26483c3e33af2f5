//! One daemon's view of an organisation's quota over all daemons.
//!
//! Daemons that reach each other share one bucket: each charges its copy with the requests that it
//! admits and with those that the others report. A partitioned group of daemons has a bucket of its
//! own. Each group's bucket gets the group's share of the quota, so that all shares add up to it.

use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;

/// Share of the tolerated overshoot per window that is used; the rest covers requests that other
/// daemons have admitted but not yet reported, and those that both sides of a partition admit until
/// they detect it.
const TOLERANCE_SHARE: f64 = 0.4;
/// Share of a window's units that can be used in a burst; the rest is refilled over the window.
const BURST_SHARE: f64 = 0.25;
/// Share of the bucket's capacity below zero down to which requests without a prompt are still
/// admitted: they take few units and are answered in milliseconds.
const SMALL_REQUEST_RESERVE: f64 = 0.25;
/// Share of the added capacity that is available immediately when a group grows.
const JOIN_CREDIT_SHARE: f64 = 0.5;
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
    /// Sets the quota, and the group's share of it from 0 to 1.
    #[allow(clippy::cast_precision_loss)]
    pub fn configure(&mut self, now: Millis, quota: &Quota, tolerance: &Tolerance, share: f64) {
        self.fill(now);
        let seconds = tolerance.window.0.max(1) as f64 / MILLIS_PER_SECOND;
        let nominal = quota.rate.mul_add(seconds, quota.burst);
        let tolerated = nominal * tolerance.overshoot + tolerance.slack;
        let allowance = tolerated.mul_add(TOLERANCE_SHARE, nominal) * share;
        let previous = std::mem::replace(&mut self.capacity, allowance * BURST_SHARE);
        self.rate = allowance * (1.0 - BURST_SHARE) / seconds;
        self.level = if previous == 0.0 {
            self.capacity
        } else if self.capacity > previous {
            (self.capacity - previous).mul_add(JOIN_CREDIT_SHARE, self.level)
        } else if self.level > 0.0 {
            self.level * self.capacity / previous
        } else {
            self.level
        };
    }

    /// Takes units if the bucket is not empty, and returns whether it did.
    ///
    /// A request may take more units than are left, so that small requests don't starve large ones;
    /// the bucket must refill before it admits the next one.
    pub fn take(&mut self, now: Millis, units: f64, is_small: bool) -> bool {
        self.fill(now);
        let floor = if is_small {
            -self.capacity * SMALL_REQUEST_RESERVE
        } else {
            0.0
        };
        let allowed = self.level > floor;
        if allowed {
            self.level -= units;
        }
        allowed
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
