//! What all daemons counted, over time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;

use super::sample::Goals;
use super::sample::Key;
use super::sample::Sample;

/// `Series` holds what was added between samples of the same daemon.
///
/// A daemon that was replaced counts anew from zero. What it had counted after its last sample is
/// lost; [`Series::restarts`] says how often that happened, and the time between two samples is the
/// most that is missing each time.
#[derive(Clone, Debug, Default)]
pub struct Series {
    added: Vec<(Millis, Key, Goals)>,
    last: BTreeMap<String, (Millis, BTreeMap<Key, Goals>)>,
    restarts: u64,
    longest: Millis,
}

impl Series {
    /// Takes in a sample; those of one daemon come in the order of their time.
    pub fn take(&mut self, sample: &Sample) {
        let goals = sample.goals.iter().cloned().collect::<BTreeMap<_, _>>();
        let before = self.last.insert(sample.daemon.clone(), (sample.at, goals));
        let Some((at, before)) = before else { return };
        self.longest = self.longest.max(sample.at - at);
        let former = |key: &Key| before.get(key).copied().unwrap_or_default();
        let restarted = sample
            .goals
            .iter()
            .any(|(key, goals)| goals.since(&former(key)).is_none())
            || before
                .keys()
                .any(|key| !sample.goals.iter().any(|(one, _)| one == key));
        self.restarts += u64::from(restarted);
        for (key, goals) in &sample.goals {
            let since = if restarted {
                *goals
            } else {
                goals.since(&former(key)).unwrap_or_default()
            };
            if since.all() > 0.0 {
                self.added.push((sample.at, key.clone(), since));
            }
        }
    }

    /// What was added, in the order in which it was taken in.
    #[must_use]
    pub fn added(&self) -> &[(Millis, Key, Goals)] {
        &self.added
    }

    /// How often a daemon began to count anew.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Longest time between two samples of a daemon.
    #[must_use]
    pub const fn longest(&self) -> Millis {
        self.longest
    }

    /// Times of the first and the last addition.
    #[must_use]
    pub fn span(&self) -> Option<(Millis, Millis)> {
        let times = || self.added.iter().map(|(at, ..)| *at);
        Some((times().min()?, times().max()?))
    }
}
