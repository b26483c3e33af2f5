//! The evidence on a rollout under way, by route, and how it stands.

use std::collections::BTreeMap;

use cactusglade_core::arena;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::row::Value;
use cactusglade_core::set;
use cactusglade_core::units::Millis;

use crate::rollout;
use crate::rollout::Test;

/// `Arm` is one of the two versions of a rollout.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Arm {
    /// The version before.
    Old,
    /// The version after.
    New,
}

/// `Trial` holds what a daemon knows of one rollout.
#[derive(Clone, Debug, Default)]
pub struct Trial {
    row: Option<Move>,
    veto: Option<String>,
    all: Test,
    routes: BTreeMap<arena::Route, Test>,
    own: BTreeMap<(arena::Route, Arm), Count>,
}

impl Trial {
    /// How the move stands, as far as is known.
    #[must_use]
    pub const fn row(&self) -> Option<&Move> {
        self.row.as_ref()
    }

    /// Why the new version was vetoed, if it was.
    #[must_use]
    pub fn vetoed(&self) -> Option<&str> {
        self.veto.as_deref()
    }

    /// The evidence over all routes.
    #[must_use]
    pub const fn test(&self) -> &Test {
        &self.all
    }

    /// The evidence that this daemon gathered itself.
    #[must_use]
    pub const fn own(&self) -> &BTreeMap<(arena::Route, Arm), Count> {
        &self.own
    }

    /// Takes in how the move stands; it only goes forward.
    pub fn moved(&mut self, row: &Move) {
        let rank = |row: &Move| Value::Move(row.clone()).precedence();
        if self
            .row
            .as_ref()
            .is_none_or(|known| rank(known) < rank(row))
        {
            self.row = Some(row.clone());
        }
    }

    /// Takes in a veto; the first one stays.
    pub fn veto(&mut self, reason: &str) {
        self.veto.get_or_insert_with(|| reason.to_owned());
    }

    /// Takes in an answer of this daemon and says whether it is cause for a veto.
    pub fn local(&mut self, route: arena::Route, arm: Arm, count: Count) -> bool {
        let own = self.own.entry((route, arm)).or_default();
        own.good += count.good;
        own.bad += count.bad;
        self.remote(route, arm, count)
    }

    /// Takes in answers of another daemon and says whether they are cause for a veto.
    pub fn remote(&mut self, route: arena::Route, arm: Arm, count: Count) -> bool {
        let of_route = self.routes.entry(route).or_default();
        for test in [&mut self.all, of_route] {
            match arm {
                Arm::Old => test.old(count),
                Arm::New => test.new_version(count),
            }
        }
        let bad = of_route.is_bad() || self.all.is_bad();
        if bad && self.veto.is_none() {
            self.veto("answers of the new version were worse than those of the old one");
            return true;
        }
        false
    }

    /// The version for a request with this random number.
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
