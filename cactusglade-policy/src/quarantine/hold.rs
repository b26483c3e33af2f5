//! How long requests with some parts are refused.

use std::collections::BTreeSet;

use cactusglade_core::call::Part;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;

use super::trial::Admission;
use super::trial::Trial;

/// Time for which requests are refused first. Then one is sent, and one more crash has them refused
/// for twice as long.
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
    /// What happens once the hold is over.
    pub trial: Trial,
}

impl Hold {
    /// Creates the first hold of some parts.
    pub fn new(now: Millis, parts: BTreeSet<u64>, last_cut: Millis) -> Self {
        Self {
            parts,
            until: now + FIRST_PERIOD,
            period: FIRST_PERIOD,
            last_cut,
            trial: Trial::default(),
        }
    }

    /// Returns whether a request with these shared parts has all parts of the hold.
    pub fn applies(&self, shared: &[Part]) -> bool {
        let has = |id: &u64| shared.iter().any(|part| part.id == *id);
        self.parts.iter().all(has)
    }

    /// Returns what happens to a request with all parts of the hold.
    pub fn admission(&self, now: Millis) -> Admission {
        if now < self.until {
            Admission::Refused(self.until)
        } else {
            self.trial.admission(now)
        }
    }

    /// Returns whether the hold is about the same requests as these parts, as far as daemons can
    /// tell the parts apart.
    pub fn concerns(&self, parts: &BTreeSet<u64>) -> bool {
        self.parts.is_subset(parts) || self.parts.is_superset(parts)
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
        self.trial = Trial::default();
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
            over_ms: (now - self.until).0,
            period_ms: self.period.0,
        }
    }

    /// Returns the statement of this daemon's claim to the trial, if it has made one.
    pub fn claim_statement(&self, now: Millis) -> Option<Suspicion> {
        let (rank, age) = self.trial.claimed(now)?;
        Some(Suspicion::Claimed {
            parts: self.parts.iter().copied().collect(),
            rank,
            age_ms: age.0,
        })
    }
}
