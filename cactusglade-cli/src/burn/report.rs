//! Burn rates and remaining error budgets.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use serde::Serialize;

use super::Error;
use super::Result;
use super::sample::Goals;
use super::sample::Key;
use super::series::Series;

/// `Objective` is a service-level objective and the windows over which its burn rate is computed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Objective {
    /// Fraction of requests that must meet the goal of their route, below 1.
    pub target: f64,
    /// Short window, in milliseconds, which shows sudden failures.
    pub fast: Millis,
    /// Long window, in milliseconds, which shows lasting failures.
    pub slow: Millis,
}

/// `Row` is the burn report of one route and organisation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The route and the organisation.
    pub key: Key,
    /// Requests over the whole sampled time.
    pub goals: Goals,
    /// Burn rate over the short window: 1 spends the budget exactly as fast as it accrues; `None`
    /// without requests.
    pub fast: Option<f64>,
    /// Burn rate over the long window, `None` without requests.
    pub slow: Option<f64>,
    /// Remaining fraction of the error budget over the whole time; negative when overspent.
    pub left: f64,
}

/// `Report` is the burn report over all routes and organisations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The objective reported on.
    pub objective: Objective,
    /// Unix times of the first and the last counted increase, in milliseconds.
    pub span: (Millis, Millis),
    /// The rows, by remaining budget in ascending order.
    pub rows: Vec<Row>,
    /// Number of counter resets, which restarts of daemons cause.
    pub restarts: u64,
    /// Longest time, in milliseconds, whose requests one counter reset may have lost.
    pub missing: Millis,
}

impl Report {
    /// Computes the report from a series.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::NoRequests`] when no requests were counted between two samples.
    pub fn try_new(series: &Series, objective: Objective) -> Result<Self> {
        let span = series.span().ok_or(Error::NoRequests)?;
        let overall = increases_within(series, Millis(0), span.1);
        let fast = increases_within(series, span.1 - objective.fast, span.1);
        let slow = increases_within(series, span.1 - objective.slow, span.1);
        let budget = 1.0 - objective.target;
        let burn = |goals: Option<&Goals>| Some(goals?.bad_fraction()? / budget);
        let rows = overall.iter().map(|(key, goals)| Row {
            key: key.clone(),
            goals: *goals,
            fast: burn(fast.get(key)),
            slow: burn(slow.get(key)),
            left: 1.0 - goals.bad_fraction().unwrap_or(0.0) / budget,
        });
        let mut rows = rows.collect::<Vec<_>>();
        rows.sort_by(|one, other| one.left.total_cmp(&other.left));
        Ok(Self {
            objective,
            span,
            rows,
            restarts: series.restarts(),
            missing: series.longest_interval(),
        })
    }

    /// Formats the report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let (from, to) = self.span;
        let mut lines = vec![
            format!(
                "objective {}% within the goal of the route; {} s sampled",
                self.objective.target * 100.0,
                (to - from).0 / 1_000
            ),
            format!(
                "{:<16} {:<16} {:>8} {:>7} {:>7} {:>10} {:>10} {:>8}",
                "route", "organisation", "good", "late", "failed", "burn fast", "burn slow", "left"
            ),
        ];
        lines.extend(self.rows.iter().map(|row| {
            let burn = |burn: Option<f64>| burn.map_or("-".to_owned(), |burn| format!("{burn:.2}"));
            format!(
                "{:<16} {:<16} {:>8} {:>7} {:>7} {:>10} {:>10} {:>7.0}%",
                row.key.route,
                row.key.organisation,
                row.goals.good,
                row.goals.late,
                row.goals.failed,
                burn(row.fast),
                burn(row.slow),
                row.left * 100.0
            )
        }));
        lines.push(match self.restarts {
            0 => "no counter resets".to_owned(),
            restarts => format!(
                "counter resets: {restarts}; up to {} ms of requests are missing for each",
                self.missing.0
            ),
        });
        lines.join("\n")
    }
}

/// Sums the increases after `from` and up to `to`, by route and organisation.
fn increases_within(series: &Series, from: Millis, to: Millis) -> BTreeMap<Key, Goals> {
    let mut sums: BTreeMap<Key, Goals> = BTreeMap::new();
    let within = |at: &Millis| *at > from && *at <= to;
    for (_, key, goals) in series.increases().iter().filter(|(at, ..)| within(at)) {
        sums.entry(key.clone()).or_default().add(goals);
    }
    sums
}
