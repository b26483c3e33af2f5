//! Position in the history of a store.

use std::fmt::Display;
use std::fmt::Formatter;

use serde::Deserialize;
use serde::Serialize;

/// Number of bits of [`Revision::number`] in its encoded form.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// `Revision` is a position in the history of a store.
///
/// Numbers rise with each change, but a store that was restored from a copy goes back to an earlier
/// one and gives the numbers after it out again. It states another era then, which always rises.
/// Between daemons a revision is one integer with the era in its upper bits, of which the era of a
/// store that states none is zero.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    /// Era of the store, by which revisions are compared first.
    pub era: u64,
    /// Number of the last change.
    pub number: u64,
}

impl Revision {
    /// Returns the revision of a row that does not exist, in the same era.
    #[must_use]
    pub const fn of_absent_row(self) -> Self {
        Self {
            era: self.era,
            number: 0,
        }
    }
}

impl From<u64> for Revision {
    fn from(encoded: u64) -> Self {
        Self {
            era: encoded >> NUMBER_BITS,
            number: encoded & MAX_NUMBER,
        }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        revision.era.min(MAX_ERA) << NUMBER_BITS | revision.number.min(MAX_NUMBER)
    }
}

impl Display for Revision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}", self.era, self.number)
    }
}
