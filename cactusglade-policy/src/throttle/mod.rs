//! Knowledge of the rate of requests that an upstream says it takes from all daemons together.
//!
//! Daemons share what they hear; each statement has the time for which it speaks, since answers
//! overtake each other. See `docs/PLATFORM.md`.

use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

/// Time after which a limit that has not been stated again is repeated to other daemons.
const REPEAT_INTERVAL: Millis = Millis(3_000);

/// `Statement` is the limit of an upstream at one time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Statement {
    /// Requests that the upstream takes from all daemons together; `None` if it states no limit.
    pub rate: Option<Rate>,
    /// Time of which it is known that this held then or later: when the answer with a limit was
    /// received, or when the request was sent whose answer states none.
    pub at: Millis,
}

/// `Throttle` is one daemon's knowledge of an upstream's limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    stated: Statement,
    /// When this daemon last told others.
    shared: Millis,
}

impl Throttle {
    /// Returns the limit in force.
    #[must_use]
    pub const fn rate(&self) -> Option<Rate> {
        self.stated.rate
    }

    /// Returns the newest statement.
    #[must_use]
    pub const fn stated(&self) -> Statement {
        self.stated
    }

    /// Records a statement unless a newer one is known; returns whether the limit changes.
    pub fn record(&mut self, statement: Statement) -> bool {
        if statement.at <= self.stated.at {
            return false;
        }
        let is_change = statement.rate != self.stated.rate;
        self.stated = statement;
        is_change
    }

    /// Returns whether a statement of another daemon is out of date, so that it must be told.
    #[must_use]
    pub fn refutes(&self, statement: &Statement) -> bool {
        statement.at < self.stated.at && statement.rate != self.stated.rate
    }

    /// Returns whether other daemons are to be told of a limit that nobody has stated lately. One
    /// that knows better will say so.
    #[must_use]
    pub fn is_repeat_due(&self, now: Millis) -> bool {
        let last = self.stated.at.max(self.shared);
        self.stated.rate.is_some() && now - last >= REPEAT_INTERVAL
    }

    /// Records that other daemons are told the newest statement.
    pub const fn record_sharing(&mut self, now: Millis) {
        self.shared = now;
    }
}
