//! Keeps all daemons together within the rate of requests that an upstream says it takes.
//!
//! The rate is divided into slots, each of which belongs to one daemon. Every daemon computes its own
//! slots from what all of them know of the fleet, so that the sum of what daemons send does not
//! depend on how fast they hear of each other. See `docs/PLATFORM.md`.

mod layout;
mod schedule;
mod share;

use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

pub use layout::Layout;
pub use schedule::Schedule;
pub use share::Share;

/// Lowest rate at which an upstream is sent requests, so that the end of a limit of zero is noticed.
const MIN_RATE: Rate = Rate(200);
/// Slots of an upstream that takes next to nothing.
const BASE_SLOTS: u64 = 2;
/// Further slots for each request per second.
///
/// Slots that have saved up one request each send four times the rate and one request per slot
/// within four seconds. Six times the rate and five requests are tolerated then, which leaves three
/// for daemons that disagree on who owns a slot.
const SLOTS_PER_REQUEST: u64 = 2;
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

/// `Throttle` is one daemon's knowledge of an upstream's limit, and its share of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    stated: Statement,
    /// When this daemon last told others.
    shared: Millis,
    share: Share,
}

/// Returns the number of slots into which a rate is divided.
#[must_use]
pub const fn slots(rate: Rate) -> u64 {
    BASE_SLOTS.saturating_add(rate.0.saturating_mul(SLOTS_PER_REQUEST) / 1_000)
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

    /// Divides the rate in force among the daemons of the fleet; `upstream` is the hash of the
    /// upstream's name.
    #[allow(clippy::cast_precision_loss)]
    pub fn allot(&mut self, now: Millis, upstream: u64, layout: &Layout) {
        let Some(rate) = self.stated.rate else {
            // Nothing is saved up until the next limit.
            self.share.resize(now, 0.0, 0.0);
            return;
        };
        let rate = rate.max(MIN_RATE);
        let count = slots(rate);
        let own = layout.share(upstream, count);
        let own_rate = rate.per_second() * own / count as f64;
        self.share.resize(now, own, own_rate);
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Millis) -> bool {
        self.stated.rate.is_none() || self.share.admits(now)
    }

    /// Returns the time until a request may be sent; `None` where this daemon owns no slot.
    #[must_use]
    pub fn wait(&self, now: Millis) -> Option<Millis> {
        if self.admits(now) {
            return Some(Millis(0));
        }
        self.share.wait(now)
    }

    /// Records that a request is sent.
    pub fn take(&mut self, now: Millis) {
        self.share.take(now);
    }
}
