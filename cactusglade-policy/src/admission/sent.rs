//! What was sent from the queue of one service lately.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use cactusglade_core::arena;
use cactusglade_core::units::Millis;

/// Time over which departures are counted, and the time after which their rate counts as measured.
const WINDOW: Millis = Millis(2_000);
const OBSERVATION: Millis = Millis(500);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Sent` counts the requests that were sent while requests of the service waited.
#[derive(Clone, Debug, Default)]
pub struct Sent {
    /// Since when requests have been waiting.
    since: Option<Millis>,
    departures: VecDeque<(Millis, Option<arena::Organisation>)>,
}

impl Sent {
    /// Notes whether requests wait now.
    pub fn note(&mut self, now: Millis, has_waiting: bool) {
        if has_waiting {
            self.since.get_or_insert(now);
        } else {
            self.since = None;
        }
    }

    /// Records that a request was sent.
    pub fn record(&mut self, now: Millis, organisation: Option<arena::Organisation>) {
        let departures = &mut self.departures;
        while departures.front().is_some_and(|(at, _)| now - *at > WINDOW) {
            departures.pop_front();
        }
        departures.push_back((now, organisation));
    }

    /// Returns the number of requests sent lately, by organisation.
    #[must_use]
    pub fn shares(&self, now: Millis) -> BTreeMap<Option<arena::Organisation>, u64> {
        let mut shares = BTreeMap::new();
        for (_, organisation) in self.lately(now, WINDOW) {
            *shares.entry(*organisation).or_default() += 1;
        }
        shares
    }

    /// Returns the rate per second at which waiting requests are sent, once it is known.
    ///
    /// Where none was sent, the next one may be sent at any moment, so that one counts.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn rate(&self, now: Millis) -> Option<f64> {
        let span = self.since.map(|since| now - since)?.min(WINDOW);
        if span < OBSERVATION {
            return None;
        }
        let count = self.lately(now, span).count().max(1);
        Some(count as f64 * MILLIS_PER_SECOND / span.0 as f64)
    }

    fn lately(
        &self,
        now: Millis,
        span: Millis,
    ) -> impl Iterator<Item = &(Millis, Option<arena::Organisation>)> {
        let departures = self.departures.iter();
        departures.filter(move |(at, _)| now - *at <= span)
    }
}
