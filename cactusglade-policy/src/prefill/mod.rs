//! Estimates how long an upstream still reads the long prompts that other daemons have sent to it.
//!
//! An engine reads prompts one after the other, and a prompt of 50,000 tokens makes those behind it
//! wait for the better part of a second. The number of requests that an engine reports doesn't show
//! that, so daemons tell each other which long prompts they have sent. See `docs/design/prefill.md`.

use cactusglade_core::units::Millis;

/// Time to read a prompt from which on other daemons are told, in milliseconds. It is a fifth of the
/// tightest latency targets; shorter prompts end about when the statement arrives.
const MIN_ANNOUNCED_MS: f64 = 100.0;
/// Longest time that an upstream is assumed to read what it was sent, in milliseconds, so that a
/// false statement keeps requests away for a short time only.
const MAX_READING_MS: f64 = 4_000.0;
/// Statements that all daemons together may make per second, of about ten bytes each.
const STATEMENTS_PER_S: f64 = 80.0;
/// Statements that a daemon may make at once, when it has made none for a while.
const BURST: f64 = 8.0;
const MILLIS_PER_S: f64 = 1_000.0;

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

/// `Allowance` bounds the statements that one daemon makes about its prompts.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    left: f64,
    updated: Millis,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            left: BURST,
            updated: Millis(0),
        }
    }
}

impl Allowance {
    /// Returns whether another statement may be made among a number of daemons, and counts it.
    #[allow(clippy::cast_precision_loss)]
    pub fn take(&mut self, now: Millis, daemons: f64) -> bool {
        let gained = (now - self.updated).0 as f64 / MILLIS_PER_S * STATEMENTS_PER_S;
        self.left = (self.left + gained / daemons.max(1.0)).min(BURST);
        self.updated = now;
        let has_left = self.left >= 1.0;
        if has_left {
            self.left -= 1.0;
        }
        has_left
    }
}
