//! An organisation's quota over all daemons, as one daemon keeps it.
//!
//! Daemons that hear each other spend from one bucket: each charges it with what it lets in and
//! with what the others tell. Those that are cut off spend from a bucket of their own. So each
//! group's bucket has the group's share, and the shares of all groups add up to the quota.

use cactusglade_core::catalog::Quota;
use cactusglade_core::units::Millis;

/// Part of what the platform tolerates in a window that is used; the rest covers what others have
/// let in and not told yet, and what both sides of a cut let in until they notice it.
const USED: f64 = 0.4;
/// Part of a window's units that can be used at once; the rest comes evenly over the window.
const AT_ONCE: f64 = 0.25;
/// Part of the bucket below zero to which requests that ask nothing of an engine still pass: they
/// take few units, and their callers are answered in milliseconds.
const RESERVE: f64 = 0.25;
/// Part of the new share that is taken as unused when a group grows.
const JOINED: f64 = 0.5;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Tolerance` is how far a quota may be passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Time over which use is counted.
    pub window: Millis,
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
    /// Sets the quota and the group's share of it.
    #[allow(clippy::cast_precision_loss)]
    pub fn set(&mut self, now: Millis, quota: &Quota, tolerance: &Tolerance, share: f64) {
        self.fill(now);
        let seconds = tolerance.window.0.max(1) as f64 / MILLIS_PER_SECOND;
        let nominal = quota.rate.mul_add(seconds, quota.burst);
        let tolerated = nominal * tolerance.overshoot + tolerance.slack;
        let units = tolerated.mul_add(USED, nominal) * share;
        let before = std::mem::replace(&mut self.most, units * AT_ONCE);
        self.rate = units * (1.0 - AT_ONCE) / seconds;
        self.level = if before == 0.0 {
            self.most
        } else if self.most > before {
            (self.most - before).mul_add(JOINED, self.level)
        } else if self.level > 0.0 {
            self.level * self.most / before
        } else {
            self.level
        };
    }

    /// Takes units where anything is left.
    ///
    /// A request that is larger than what is left passes, so that large ones are not starved by
    /// small ones; what it takes beyond is paid back before the next passes.
    pub fn take(&mut self, now: Millis, units: f64, is_small: bool) -> bool {
        self.fill(now);
        let least = if is_small { -self.most * RESERVE } else { 0.0 };
        let allowed = self.level > least;
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
