//! How long requests with some parts are refused.

use std::collections::BTreeSet;

use cactusglade_core::call::Part;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;

/// Time for which requests are refused first. Then they are sent again, and one more crash has them
/// refused for twice as long.
const FIRST_PERIOD: Millis = Millis(60_000);
/// Longest time for which requests are refused.
const MAX_PERIOD: Millis = Millis(960_000);
/// Number of periods after its end for which a hold is remembered.
const REMEMBERED_PERIODS: u64 = 4;

/// `Hold` refuses the requests that have all of its parts.
#[derive(Clone, Debug)]
pub struct Hold {
    /// Parts that could not be told apart: each crash had all of them.
    pub parts: BTreeSet<u64>,
    /// End of the hold.
    pub until: Millis,
    /// Length of the hold.
    pub period: Millis,
    /// When a request with these parts was last cut.
    pub last_cut: Millis,
}

impl Hold {
    /// Creates the first hold of some parts.
    pub fn new(now: Millis, parts: BTreeSet<u64>, last_cut: Millis) -> Self {
        Self {
            parts,
            until: now + FIRST_PERIOD,
            period: FIRST_PERIOD,
            last_cut,
        }
    }

    /// Returns whether the hold applies to a request with these shared parts.
    pub fn applies(&self, now: Millis, shared: &[Part]) -> bool {
        let has = |id: &u64| shared.iter().any(|part| part.id == *id);
        now < self.until && self.parts.iter().all(has)
    }

    /// Records another cut; a hold that was over begins again and lasts twice as long. Returns
    /// whether it does.
    pub fn record_cut(&mut self, cut: Millis) -> bool {
        self.last_cut = cut.max(self.last_cut);
        if cut < self.until {
            return false;
        }
        self.period = Millis(self.period.0 * 2).min(MAX_PERIOD);
        self.until = cut + self.period;
        true
    }

    /// Returns whether the hold ended so long ago that the parts begin anew.
    pub fn is_forgotten(&self, now: Millis) -> bool {
        now > self.until + Millis(self.period.0 * REMEMBERED_PERIODS)
    }

    /// Returns the statement of the hold for other daemons.
    pub fn statement(&self, now: Millis) -> Suspicion {
        Suspicion::Held {
            parts: self.parts.iter().copied().collect(),
            age_ms: (now - self.last_cut).0,
            left_ms: (self.until - now).0,
            period_ms: self.period.0,
        }
    }
}
