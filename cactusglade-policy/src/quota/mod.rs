//! One daemon's share of an organisation's quota.
//!
//! The quota holds over all daemons, also those that hear nothing of the others. So each spends
//! only its share of it, and the shares of all add up to what the quota and its slack allow.

use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;

/// Part of the tolerated overshoot that is used; the rest covers shares that overlap while they
/// change.
const USED: f64 = 0.5;
/// Part of the quota that is dealt evenly; the rest follows the demand.
const EVEN: f64 = 0.3;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Tolerance` is how far a quota may be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Share of the quota.
    pub overshoot: f64,
    /// Units beyond that.
    pub slack: f64,
}

/// `Bucket` fills with a daemon's share of the rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: f64,
    most: f64,
    level: f64,
    filled: Millis,
}

/// One daemon's share, from its own demand, that of all, and how many they are.
#[must_use]
pub fn share(own: f64, all: f64, daemons: f64) -> f64 {
    let even = 1.0 / daemons.max(1.0);
    if all <= 0.0 {
        return even;
    }
    EVEN * even + (1.0 - EVEN) * (own / all).min(1.0)
}

impl Bucket {
    /// Sets the quota and the share of it; what was left stays left in proportion.
    pub fn set(&mut self, now: Millis, quota: &Quota, tolerance: &Tolerance, share: f64) {
        self.fill(now);
        let rate = quota.rate * (1.0 + tolerance.overshoot * USED) * share;
        let most = (quota.burst + tolerance.slack * USED) * share;
        let full = if self.most > 0.0 {
            (self.level / self.most).min(1.0)
        } else {
            1.0
        };
        self.rate = rate;
        self.most = most;
        self.level = most * full;
    }

    /// Takes units where they are left.
    pub fn take(&mut self, now: Millis, units: f64) -> bool {
        self.fill(now);
        let allowed = self.level >= units.min(self.most);
        if allowed {
            self.level -= units;
        }
        allowed
    }

    /// Gives back the units of a request that did not run.
    pub fn give_back(&mut self, units: f64) {
        self.level = (self.level + units).min(self.most);
    }

    /// Time until these units are there.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wait(&self, units: f64) -> Millis {
        if self.rate <= 0.0 {
            return Millis(MILLIS_PER_SECOND as u64);
        }
        let missing = (units.min(self.most) - self.level).max(0.0);
        Millis((missing / self.rate * MILLIS_PER_SECOND) as u64)
    }

    #[allow(clippy::cast_precision_loss)]
    fn fill(&mut self, now: Millis) {
        let span = (now - self.filled).0 as f64 / MILLIS_PER_SECOND;
        self.level = (self.level + self.rate * span).min(self.most);
        self.filled = now;
    }
}
