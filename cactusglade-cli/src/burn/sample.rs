//! What one daemon has counted up to one moment.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use serde::Deserialize;
use serde::Serialize;

use super::Result;

/// Name of the counter; `docs/OPERATIONS.md` lists its labels.
const GOALS_METRIC: &str = "cactusglade_goals_total";

/// `Key` names a route and an organisation.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Name of the route.
    pub route: String,
    /// Name of the organisation.
    pub organisation: String,
}

/// `Goals` are numbers of requests by whether the goal of their route was met.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct Goals {
    /// Met it.
    pub good: f64,
    /// Were answered later.
    pub late: f64,
    /// Failed through no doing of the caller's.
    pub failed: f64,
}

impl Goals {
    /// All of them.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.good + self.late + self.failed
    }

    /// Part of them that did not meet the goal, nothing where there are none.
    #[must_use]
    pub fn bad_fraction(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| (self.late + self.failed) / total)
    }

    /// Adds others to them.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.late += other.late;
        self.failed += other.failed;
    }

    /// What was added since a former count, nothing where the count began anew meanwhile.
    #[must_use]
    pub fn increase_since(&self, earlier: &Self) -> Option<Self> {
        let has_grown =
            self.good >= earlier.good && self.late >= earlier.late && self.failed >= earlier.failed;
        has_grown.then_some(Self {
            good: self.good - earlier.good,
            late: self.late - earlier.late,
            failed: self.failed - earlier.failed,
        })
    }
}

/// `Sample` is what a daemon has counted since it started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// When, in Unix time.
    pub at: Millis,
    /// Operators' address or name of the daemon.
    pub daemon: String,
    /// Counts by route and organisation.
    pub goals: Vec<(Key, Goals)>,
}

impl Sample {
    /// Reads a daemon's metrics.
    ///
    /// # Errors
    ///
    /// Fails where the text is not in the form that Prometheus reads.
    pub fn try_new(at: Millis, daemon: &str, text: &str) -> Result<Self> {
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = Scrape::parse(lines)?;
        let mut goals: BTreeMap<Key, Goals> = BTreeMap::new();
        for sample in scrape
            .samples
            .iter()
            .filter(|one| one.metric == GOALS_METRIC)
        {
            let label = |name: &str| sample.labels.get(name).unwrap_or("-").to_owned();
            let key = Key {
                route: label("route"),
                organisation: label("organisation"),
            };
            let (Value::Counter(count) | Value::Gauge(count) | Value::Untyped(count)) =
                &sample.value
            else {
                continue;
            };
            let goals = goals.entry(key).or_default();
            match label("result").as_str() {
                "good" => goals.good = *count,
                "late" => goals.late = *count,
                _ => goals.failed += *count,
            }
        }
        Ok(Self {
            at,
            daemon: daemon.to_owned(),
            goals: goals.into_iter().collect(),
        })
    }
}
