//! Bounds how many statements of one kind a daemon makes, so that all daemons together keep within
//! what each of them can receive.

use cactusglade_core::units::Millis;

const MILLIS_PER_S: f64 = 1_000.0;

/// `Bounds` is how many statements may be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Statements per second of all daemons together.
    pub per_s: f64,
    /// Statements that one daemon may make at once, when it has made none for a while.
    pub burst: f64,
}

/// `Allowance` is what one daemon may still state.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    bounds: Bounds,
    left: f64,
    updated: Millis,
}

impl Allowance {
    /// Creates a full allowance.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            left: bounds.burst,
            updated: Millis(0),
        }
    }

    /// Returns whether another statement may be made among a number of daemons, and counts it.
    #[allow(clippy::cast_precision_loss)]
    pub fn take(&mut self, now: Millis, daemons: f64) -> bool {
        let gained = (now - self.updated).0 as f64 / MILLIS_PER_S * self.bounds.per_s;
        self.left = (self.left + gained / daemons.max(1.0)).min(self.bounds.burst);
        self.updated = now;
        let has_left = self.left >= 1.0;
        if has_left {
            self.left -= 1.0;
        }
        has_left
    }
}
