//! Burn rates and what is left of the budgets.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use serde::Serialize;

use super::Error;
use super::Result;
use super::sample::Goals;
use super::sample::Key;
use super::series::Series;

/// `Objective` says what is promised and over which spans it is watched.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Objective {
    /// Part of the requests that must meet the goal of their route.
    pub target: f64,
    /// Span that shows a sudden failure.
    pub fast: Millis,
    /// Span that shows a lasting one.
    pub slow: Millis,
}

/// `Row` is how one route and organisation stand.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The route and the organisation.
    pub key: Key,
    /// Requests over the whole time.
    pub goals: Goals,
    /// Burn over the fast span: 1 uses the budget up just as fast as it is given.
    pub fast: Option<f64>,
    /// Burn over the slow span.
    pub slow: Option<f64>,
    /// Part of the budget that is left of what the whole time allowed; below zero it is overdrawn.
    pub left: f64,
}

/// `Report` is how all stand.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// What is promised.
    pub objective: Objective,
    /// First and last time.
    pub span: (Millis, Millis),
    /// The rows, those with the least budget left first.
    pub rows: Vec<Row>,
    /// Daemons that began to count anew.
    pub restarts: u64,
    /// Most that is missing of the count of each of them, as a time.
    pub missing: Millis,
}

impl Report {
    /// Adds everything up.
    ///
    /// # Errors
    ///
    /// Fails where nothing was counted between two samples.
    pub fn try_new(series: &Series, objective: Objective) -> Result<Self> {
        let span = series.span().ok_or(Error::TooFew)?;
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

    /// The report as a table.
    #[must_use]
    pub fn text(&self) -> String {
        let (from, to) = self.span;
        let mut lines = vec![
            format!(
                "objective {}% within the goal of the route; {} s seen",
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
            0 => "no daemon began to count anew".to_owned(),
            restarts => format!(
                "daemons began to count anew {restarts} times; up to {} ms of each are missing",
                self.missing.0
            ),
        });
        lines.join("\n")
    }
}

/// What was added within a span, by route and organisation.
fn increases_within(series: &Series, from: Millis, to: Millis) -> BTreeMap<Key, Goals> {
    let mut sums: BTreeMap<Key, Goals> = BTreeMap::new();
    let within = |at: &Millis| *at > from && *at <= to;
    for (_, key, goals) in series.increases().iter().filter(|(at, ..)| within(at)) {
        sums.entry(key.clone()).or_default().add(goals);
    }
    sums
}
