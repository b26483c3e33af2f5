//! Measures the token latency of an answer.

use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Verdict;

/// `Latency` measures the time to the first token and the gaps between tokens, over all attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    first: Option<Millis>,
    last: Millis,
    gap_count: u64,
    gap_total: Millis,
}

impl Latency {
    /// Records a token at time `now`; returns the gap since the previous one, if there is one.
    pub fn record(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - self.last;
        self.last = now;
        if self.first.is_none() {
            self.first = Some(now);
            return None;
        }
        self.gap_count += 1;
        self.gap_total = self.gap_total + gap;
        Some(gap)
    }

    /// Returns the time from `sent` to the first token, if one has arrived.
    pub fn time_to_first(&self, sent: Millis) -> Option<Millis> {
        self.first.map(|first| first - sent)
    }

    /// Compares the time to the first token and the mean gap with the route's targets.
    pub fn verdict(&self, sent: Millis, first_token: Millis, between_tokens: Millis) -> Verdict {
        let is_first_late = self
            .time_to_first(sent)
            .is_some_and(|first| first > first_token);
        let gap = self.gap_total.0 / self.gap_count.max(1);
        if is_first_late || gap > between_tokens.0 {
            Verdict::Slow
        } else {
            Verdict::Good
        }
    }
}
