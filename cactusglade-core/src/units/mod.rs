//! Types for quantities, so that the unit of a number is always clear.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// `Millis` is a number of milliseconds, either a duration or a point in time on a given clock.
///
/// Decisions get the time as an argument and never read a clock; see `docs/DESIGN.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration from `earlier` to `self`, zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

/// `Rate` is a number of requests per thousand seconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Rate(pub u64);

impl Rate {
    /// Returns the number of requests per second.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

/// `Generation` is the number of a published object set; a daemon only accepts a greater one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// Returns the next generation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// `Tokens` is a number of model tokens of a prompt or of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Tokens(pub u64);
