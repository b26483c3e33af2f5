//! Counts refused requests in the logs of any number of daemons.
//!
//! The events are those of the users' platform; `docs/OPERATIONS.md` lists the reasons.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::explain::Line;

/// Event that ends each request. `not_placed` lines have a reason too, but belong to requests that
/// have an end of their own, and would count them twice.
const END_EVENT: &str = "request";
/// Value that stands for an unknown route or organisation.
const UNKNOWN: &str = "-";

/// `Key` is what refusals are counted by, in the order of the table's columns.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    reason: String,
    route: String,
    organisation: String,
}

/// `Tally` counts refusals by reason, route and organisation.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counts: BTreeMap<Key, u64>,
    requests: u64,
}

impl Tally {
    /// Counts the event of a log line if it is the end of a request.
    pub fn add(&mut self, line: &Line) {
        if line.event != END_EVENT {
            return;
        }
        self.requests += 1;
        let Some(reason) = line.field("reason") else {
            return;
        };
        let field = |name| line.field(name).unwrap_or(UNKNOWN).to_owned();
        let key = Key {
            reason: reason.to_owned(),
            route: field("route"),
            organisation: field("organisation"),
        };
        *self.counts.entry(key).or_default() += 1;
    }

    /// Returns the number of requests that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.counts.values().sum()
    }

    /// Returns the number of requests that have ended.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Formats the counts as a table of key=value lines, by reason, route and organisation.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (reason, count) in self.by_reason() {
            // Writing to a string can't fail.
            let _ = writeln!(text, "reason={reason} count={count}");
            let keys = self.counts.iter().filter(|(key, _)| key.reason == reason);
            for (key, count) in keys {
                let _ = writeln!(
                    text,
                    "  route={} organisation={} count={count}",
                    key.route, key.organisation
                );
            }
        }
        let _ = write!(
            text,
            "{} of {} requests refused",
            self.refused(),
            self.requests
        );
        text
    }

    fn by_reason(&self) -> BTreeMap<&str, u64> {
        let mut reasons = BTreeMap::<_, u64>::new();
        for (key, count) in &self.counts {
            *reasons.entry(key.reason.as_str()).or_default() += count;
        }
        reasons
    }
}
