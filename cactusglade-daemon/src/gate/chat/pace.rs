//! How fast the tokens of an answer come.

use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Verdict;

/// `Pace` is how fast the tokens came, over all attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    first: Option<Millis>,
    last: Millis,
    gaps: u64,
    waited: Millis,
}

impl Pace {
    /// Notes a token and gives back the gap before it, nothing for the first.
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

    /// Time from sending to the first token.
    pub fn first_since(&self, sent: Millis) -> Option<Millis> {
        self.first.map(|first| first - sent)
    }

    /// Judges the answer against the targets of its route.
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
