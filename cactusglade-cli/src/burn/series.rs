//! Counter increases of all daemons over time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;

use super::sample::Goals;
use super::sample::Key;
use super::sample::Sample;

/// `Series` holds the counter increases between consecutive samples of each daemon.
///
/// The counters of a restarted daemon begin at zero. Requests that it counted after its last sample
/// are lost; [`Series::restarts`] counts these counter resets, and
/// [`Series::longest_interval`] bounds the time whose requests each of them loses.
#[derive(Clone, Debug, Default)]
pub struct Series {
    increases: Vec<(Millis, Key, Goals)>,
    latest: BTreeMap<String, (Millis, BTreeMap<Key, Goals>)>,
    restarts: u64,
    longest_interval: Millis,
}

impl Series {
    /// Adds a sample; the samples of one daemon must be added in chronological order.
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

    /// Returns the increases in the order of insertion, each with its Unix time in milliseconds.
    #[must_use]
    pub fn increases(&self) -> &[(Millis, Key, Goals)] {
        &self.increases
    }

    /// Returns the number of counter resets.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }

    /// Returns the longest time between two samples of the same daemon, in milliseconds.
    #[must_use]
    pub const fn longest_interval(&self) -> Millis {
        self.longest_interval
    }

    /// Returns the Unix times of the first and the last increase in milliseconds, `None` without
    /// increases.
    #[must_use]
    pub fn span(&self) -> Option<(Millis, Millis)> {
        let times = || self.increases.iter().map(|(at, ..)| *at);
        Some((times().min()?, times().max()?))
    }
}
