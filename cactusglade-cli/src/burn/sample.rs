//! Counters of one daemon at one time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use serde::Deserialize;
use serde::Serialize;

use super::Result;

/// Name of the counter metric; `docs/OPERATIONS.md` lists its labels.
const GOALS_METRIC: &str = "cactusglade_goals_total";

/// `Key` identifies a counter by route and organisation.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Name of the route.
    pub route: String,
    /// Name of the organisation.
    pub organisation: String,
}

/// `Goals` counts requests by whether they met the goal of their route.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
pub struct Goals {
    /// Requests that met the goal.
    pub good: f64,
    /// Requests answered later than the goal.
    pub late: f64,
    /// Requests that failed for a reason other than the caller's fault.
    pub failed: f64,
}

impl Goals {
    /// Returns the number of all requests.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.good + self.late + self.failed
    }

    /// Returns the fraction of requests that missed the goal, `None` without requests.
    #[must_use]
    pub fn bad_fraction(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| (self.late + self.failed) / total)
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.late += other.late;
        self.failed += other.failed;
    }

    /// Returns the increase since an earlier count, `None` after a counter reset.
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

/// `Sample` holds the counters of a daemon since its start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Time of the sample, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Operators' address of the daemon, or its name.
    pub daemon: String,
    /// Counters by route and organisation.
    pub goals: Vec<(Key, Goals)>,
}

impl Sample {
    /// Parses a daemon's metrics.
    ///
    /// # Errors
    ///
    /// Fails when the text is not in the Prometheus text format.
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
