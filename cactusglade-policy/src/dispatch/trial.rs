//! Evidence on a rollout in progress, by route, and the state of the rollout.

use std::collections::BTreeMap;

use cactusglade_core::arena;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::row::Value;
use cactusglade_core::set;
use cactusglade_core::units::Millis;

use crate::rollout;
use crate::rollout::Detector;

/// `Arm` is one of the two versions of a rollout.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Arm {
    /// The version before the rollout.
    Old,
    /// The version after the rollout.
    New,
}

/// `Trial` holds a daemon's state of one rollout.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    row: Option<Move>,
    veto: Option<String>,
    overall: Detector,
    routes: BTreeMap<arena::Route, Detector>,
    local_counts: BTreeMap<(arena::Route, Arm), Count>,
}

impl Trial {
    /// Returns the latest known row of the rollout.
    #[must_use]
    pub const fn row(&self) -> Option<&Move> {
        self.row.as_ref()
    }

    /// Returns the reason of a veto against the new version, if there is one.
    #[must_use]
    pub fn veto_reason(&self) -> Option<&str> {
        self.veto.as_deref()
    }

    /// Returns the evidence over all routes.
    #[must_use]
    pub const fn detector(&self) -> &Detector {
        &self.overall
    }

    /// Returns the evidence that this daemon gathered itself.
    #[must_use]
    pub const fn local_counts(&self) -> &BTreeMap<(arena::Route, Arm), Count> {
        &self.local_counts
    }

    /// Updates the row of the rollout; an older row is ignored.
    pub fn update_move(&mut self, row: &Move) {
        let precedence = |row: &Move| Value::Move(row.clone()).precedence();
        if self
            .row
            .as_ref()
            .is_none_or(|known| precedence(known) < precedence(row))
        {
            self.row = Some(row.clone());
        }
    }

    /// Records a veto; the first one is kept.
    pub fn veto(&mut self, reason: &str) {
        self.veto.get_or_insert_with(|| reason.to_owned());
    }

    /// Records evidence of this daemon and returns whether it leads to a veto.
    pub fn record_local(&mut self, route: arena::Route, arm: Arm, count: Count) -> bool {
        let own = self.local_counts.entry((route, arm)).or_default();
        own.good += count.good;
        own.bad += count.bad;
        self.record_remote(route, arm, count)
    }

    /// Records evidence of another daemon and returns whether it leads to a veto.
    pub fn record_remote(&mut self, route: arena::Route, arm: Arm, count: Count) -> bool {
        let on_route = self.routes.entry(route).or_default();
        for detector in [&mut self.overall, on_route] {
            match arm {
                Arm::Old => detector.record_old(count),
                Arm::New => detector.record_new(count),
            }
        }
        let is_bad = on_route.is_bad() || self.overall.is_bad();
        if is_bad && self.veto.is_none() {
            self.veto("answers of the new version were worse than those of the old one");
            return true;
        }
        false
    }

    /// Returns the version for a request with the random number `draw` from 0 to 1.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn version(&self, rollout: &set::Rollout, unix: Millis, draw: f64) -> arena::Version {
        let vetoed = self.veto.is_some();
        let share = rollout::share(&rollout.meta, self.row.as_ref(), vetoed, unix);
        if share == 100 || draw * 100.0 < share as f64 {
            rollout.to
        } else {
            rollout.from
        }
    }
}
