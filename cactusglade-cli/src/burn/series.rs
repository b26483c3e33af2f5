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
    increases: Vec<(Millis, Key, Goals)>,
    latest: BTreeMap<String, (Millis, BTreeMap<Key, Goals>)>,
    restarts: u64,
    longest_interval: Millis,
}

impl Series {
    /// Takes in a sample; those of one daemon come in the order of their time.
    pub fn push(&mut self, sample: &Sample) {
        let goals = sample.goals.iter().cloned().collect::<BTreeMap<_, _>>();
        let before = self
            .latest
            .insert(sample.daemon.clone(), (sample.at, goals));
        let Some((at, before)) = before else { return };
        self.longest_interval = self.longest_interval.max(sample.at - at);
        let earlier = |key: &Key| before.get(key).copied().unwrap_or_default();
        let restarted = sample
            .goals
            .iter()
            .any(|(key, goals)| goals.increase_since(&earlier(key)).is_none())
            || before
                .keys()
                .any(|key| !sample.goals.iter().any(|(one, _)| one == key));
        self.restarts += u64::from(restarted);
        for (key, goals) in &sample.goals {
            let increase = if restarted {
                *goals
            } else {
                goals.increase_since(&earlier(key)).unwrap_or_default()
            };
            if increase.total() > 0.0 {
                self.increases.push((sample.at, key.clone(), increase));
            }
        }
    }

    /// What was added, in the order in which it was taken in.
    #[must_use]
    pub fn increases(&self) -> &[(Millis, Key, Goals)] {
        &self.increases
    }

    /// How often a daemon began to count anew.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Longest time between two samples of a daemon.
    #[must_use]
    pub const fn longest_interval(&self) -> Millis {
        self.longest_interval
    }

    /// Times of the first and the last addition.
    #[must_use]
    pub fn span(&self) -> Option<(Millis, Millis)> {
        let times = || self.increases.iter().map(|(at, ..)| *at);
        Some((times().min()?, times().max()?))
    }
}
