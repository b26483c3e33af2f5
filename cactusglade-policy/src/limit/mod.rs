//! The rate limit of one organisation, over all daemons.

use cactusglade_core::units::Millis;

/// Tokens that may be used at once, as a span of the organisation's rate.
const BURST: Millis = Millis(2_000);
const MILLIS_PER_SECOND: u64 = 1_000;

/// `Bucket` fills with the organisation's rate and is emptied by what it was served anywhere.
///
/// It may go below empty: use that other daemons report late, and answers longer than was
/// estimated, are paid back before the next request is let in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: u64,
    level: i64,
    filled: Millis,
}

impl Bucket {
    /// Sets the rate in tokens a second, zero for none.
    pub fn set(&mut self, rate: u64) {
        if self.rate != rate {
            self.rate = rate;
            self.level = self.burst();
        }
    }

    /// Whether the organisation may send another request now.
    pub fn allows(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.rate == 0 || self.level > 0
    }

    /// Charges tokens that it was served, here or by another daemon; negative ones are given back.
    pub fn charge(&mut self, tokens: i64) {
        if self.rate > 0 {
            self.level = self.level.saturating_sub(tokens).min(self.burst());
        }
    }

    fn burst(&self) -> i64 {
        i64::try_from(self.rate * BURST.0 / MILLIS_PER_SECOND).unwrap_or(i64::MAX)
    }

    fn fill(&mut self, now: Millis) {
        let gained = self.rate * (now - self.filled).0 / MILLIS_PER_SECOND;
        if gained > 0 || self.rate == 0 {
            let gained = i64::try_from(gained).unwrap_or(i64::MAX);
            self.level = self.level.saturating_add(gained).min(self.burst());
            self.filled = now;
        }
    }
}
