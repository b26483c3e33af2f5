//! Units that travel between packages, so that a bare number never has to be guessed at.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Serialize;

/// `Millis` counts milliseconds, either as a span or as a point on a clock that the holder names.
///
/// Decisions take the time as an argument and never read a clock; see `docs/DESIGN.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The span from `earlier` to `self` in milliseconds, zero when `earlier` is later.
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

/// `Generation` numbers published object sets; a daemon only ever takes a greater one.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Generation(pub u64);

impl Generation {
    /// The generation that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// `Tokens` counts model tokens, of a prompt or of an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Tokens(pub u64);
