//! Estimates how long an upstream still reads the long prompts that other daemons have sent to it.
//!
//! An engine reads prompts one after the other, and a prompt of 50,000 tokens makes those behind it
//! wait for the better part of a second. The number of requests that an engine reports doesn't show
//! that, so daemons tell each other which long prompts they have sent. See `docs/design/prefill.md`.

use cactusglade_core::units::Millis;

use crate::allowance::Bounds;

/// Time to read a prompt from which on other daemons are told, in milliseconds. It is a fifth of the
/// tightest latency targets; shorter prompts end about when the statement arrives.
const MIN_ANNOUNCED_MS: f64 = 100.0;
/// Longest time that an upstream is assumed to read what it was sent, in milliseconds, so that a
/// false statement keeps requests away for a short time only.
const MAX_READING_MS: f64 = 4_000.0;
/// Statements on long prompts: each daemon receives all, of about ten bytes, at most 1 KB per second.
pub const STATEMENTS: Bounds = Bounds {
    per_s: 80.0,
    burst: 8.0,
};

/// Returns whether other daemons are to be told of a prompt with this number of tokens to read, at a
/// speed in tokens per millisecond.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn is_long(tokens: u64, speed: f64) -> bool {
    tokens as f64 >= MIN_ANNOUNCED_MS * speed
}

/// `Queue` is what an upstream has still to read of other daemons' prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Queue {
    tokens: f64,
    updated: Millis,
}

impl Queue {
    /// Adds a prompt that was sent some time ago; `speed` is in tokens per millisecond.
    ///
    /// An upstream that was idle until then has read part of the prompt meanwhile.
    #[allow(clippy::cast_precision_loss)]
    pub fn add(&mut self, now: Millis, age: Millis, tokens: u64, speed: f64) {
        let left = self.tokens(now, speed);
        let read = if left > 0.0 {
            0.0
        } else {
            age.0 as f64 * speed
        };
        let added = (tokens as f64 - read).max(0.0);
        self.tokens = (left + added).min(MAX_READING_MS * speed);
        self.updated = now;
    }

    /// Returns the number of tokens that are still to be read.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn tokens(&self, now: Millis, speed: f64) -> f64 {
        let read = (now - self.updated).0 as f64 * speed;
        (self.tokens - read).max(0.0)
    }
}
