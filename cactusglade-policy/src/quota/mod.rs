//! An organisation's quota over all daemons, as one daemon keeps it.
//!
//! Daemons that hear each other spend from one bucket: each charges it with what it lets in and
//! with what the others tell. Those that are cut off spend from a bucket of their own. So each
//! group's bucket has the group's share, and the shares of all groups add up to the quota.

use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;

/// Part of the tolerated overshoot that is used; the rest covers what others have let in and not
/// told yet.
const USED: f64 = 0.4;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Tolerance` is how far a quota may be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Share of the quota.
    pub overshoot: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// `Bucket` fills with the rate of the daemons that hear each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: f64,
    most: f64,
    level: f64,
    filled: Millis,
}

impl Bucket {
    /// Sets the quota and the group's share of it; what was left stays left in proportion.
    pub fn set(&mut self, now: Millis, quota: &Quota, tolerance: &Tolerance, share: f64) {
        self.fill(now);
        let most = (quota.burst + tolerance.slack * USED) * share;
        let full = if self.most > 0.0 {
            self.level / self.most
        } else {
            1.0
        };
        self.rate = quota.rate * (1.0 + tolerance.overshoot * USED) * share;
        self.most = most;
        self.level = most * full.min(1.0);
    }

    /// Takes units where anything is left.
    ///
    /// A request that is larger than what is left passes, so that large ones are not starved by
    /// small ones; what it takes beyond is paid back before the next passes.
    pub fn take(&mut self, now: Millis, units: f64) -> bool {
        self.fill(now);
        let allowed = self.level > 0.0;
        if allowed {
            self.level -= units;
        }
        allowed
    }

    /// Charges units that another daemon of the group let in.
    pub fn charge(&mut self, units: f64) {
        self.level -= units;
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.most);
    }

    /// Time until another request can pass.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wait(&self) -> Millis {
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
        self.level = (self.level + self.rate * span).min(self.most);
        self.filled = now;
    }
}
