//! Rate limit of one organisation over all daemons.

use cactusglade_core::units::Millis;

/// Size of the bucket, as the time in which the organisation's rate fills it.
const BURST_PERIOD: Millis = Millis(2_000);
const MILLIS_PER_SECOND: u64 = 1_000;

/// `Bucket` is a token bucket that is charged for tokens served by any daemon.
///
/// Its level may become negative, by charges that other daemons report late and by answers longer
/// than estimated; no request is admitted until the level is positive again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    rate: u64,
    level: i64,
    filled: Millis,
}

impl Bucket {
    /// Sets the rate in tokens per second; zero means no limit.
    pub fn set_rate(&mut self, rate: u64) {
        if self.rate != rate {
            self.rate = rate;
            self.level = self.burst();
        }
    }

    /// Returns whether a request may be admitted now.
    pub fn allows(&mut self, now: Millis) -> bool {
        self.fill(now);
        self.rate == 0 || self.level > 0
    }

    /// Charges tokens served by this or another daemon; a negative number is refunded.
    pub fn charge(&mut self, tokens: i64) {
        if self.rate > 0 {
            self.level = self.level.saturating_sub(tokens).min(self.burst());
        }
    }

    fn burst(&self) -> i64 {
        i64::try_from(self.rate * BURST_PERIOD.0 / MILLIS_PER_SECOND).unwrap_or(i64::MAX)
    }

    fn fill(&mut self, now: Millis) {
        let refill = self.rate * (now - self.filled).0 / MILLIS_PER_SECOND;
        if refill > 0 || self.rate == 0 {
            let refill = i64::try_from(refill).unwrap_or(i64::MAX);
            self.level = self.level.saturating_add(refill).min(self.burst());
            self.filled = now;
        }
    }
}
