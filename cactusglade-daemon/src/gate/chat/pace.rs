//! Measures the token latency of an answer.

use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Verdict;

/// `Pace` measures the time to the first token and the gaps between tokens, over all attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first: Option<Millis>,
    last: Millis,
    gaps: u64,
    waited: Millis,
}

impl Pace {
    /// Records a token at time `now`; returns the gap since the previous one, if there is one.
    pub fn note(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - self.last;
        self.last = now;
        if self.first.is_none() {
            self.first = Some(now);
            return None;
        }
        self.gaps += 1;
        self.waited = self.waited + gap;
        Some(gap)
    }

    /// Returns the time from `sent` to the first token, if one has arrived.
    pub fn first_since(&self, sent: Millis) -> Option<Millis> {
        self.first.map(|first| first - sent)
    }

    /// Compares the time to the first token and the mean gap with the route's targets.
    pub fn verdict(&self, sent: Millis, first_token: Millis, between_tokens: Millis) -> Verdict {
        let first_late = self
            .first_since(sent)
            .is_some_and(|first| first > first_token);
        let gap = self.waited.0 / self.gaps.max(1);
        if first_late || gap > between_tokens.0 {
            Verdict::Slow
        } else {
            Verdict::Good
        }
    }
}
