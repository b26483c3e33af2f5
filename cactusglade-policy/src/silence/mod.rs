//! Decides whether the load of an upstream explains that it has not answered a request.
//!
//! An engine with all slots taken answers late, as does one that reads many prompts, and an engine
//! that fails answers not at all. To send a request again after the same time in both cases makes
//! each overload last: the prompt is read twice, and the engine counts as failed although it only
//! has too much to do. Reports of the load tell the two apart. See `docs/design/silence.md`.

use cactusglade_core::units::Millis;

use crate::pace::FIRST_EVENT;

/// Expected time for each request that waits for a slot, in milliseconds, as in the cost of a choice.
const QUEUED_MS: f64 = 60.0;
/// Latency targets for which a report counts. An engine that reads one prompt of 50,000 tokens begins
/// no answer for most of a second, and what other daemons see arrives half a second late.
const REPORT_TARGETS: u64 = 2;
/// Least time by which a wait is extended, as a part of the latency target, so that a request doesn't
/// ask again and again.
const MIN_EXTENSION_PARTS: u64 = 4;

/// `Wait` is the wait of one attempt for the beginning of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// When the request was sent.
    pub sent_at: Millis,
    /// Latency target of its route.
    pub target: Millis,
    /// Time up to which the wait may be extended.
    pub latest: Millis,
}

/// `Condition` of an upstream, by the last report on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Time of which the last report on the load speaks.
    pub heard: Millis,
    /// When that report was received.
    pub received: Millis,
    /// Number of running and waiting requests by that report.
    pub load: u64,
    /// Number of requests that run concurrently.
    pub slots: u64,
    /// Time to read the prompts that were known to be pending when the request was sent, or are now, in
    /// milliseconds.
    pub pending_ms: f64,
    /// Time that work takes relative to the usual time.
    pub pace: f64,
}

/// `Extension` of a wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Extension {
    /// Time until which the answer may still come. It is not later than `now` where the time that the
    /// wait may take is used up; the request is then given up, and is no loss.
    pub until: Millis,
    /// Number of running and waiting requests by which the silence is explained.
    pub load: u64,
}

impl Wait {
    /// Returns how long to wait on, if the load of the upstream explains that it has not answered.
    ///
    /// An extension ends two targets after the last report was received, or after its least time. So a
    /// request at an upstream that has failed with all slots taken is lost two targets after it was
    /// sent, or at most two and a quarter after the last report.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn extend(&self, now: Millis, condition: &Condition) -> Option<Extension> {
        let counts_until = condition.received + Millis(self.target.0 * REPORT_TARGETS);
        if condition.heard < self.sent_at || now >= counts_until {
            return None;
        }
        let is_full = condition.slots > 0 && condition.load >= condition.slots;
        let read_ms = condition.pending_ms + FIRST_EVENT.0 as f64;
        let is_reading = read_ms >= (now - self.sent_at).0 as f64;
        let until = self.next_check(now, counts_until, condition);
        (is_full || is_reading).then_some(Extension {
            until: until.min(self.latest),
            load: condition.load,
        })
    }

    /// Returns when the upstream has probably read its prompts and freed as many slots as requests
    /// wait for, or when to decide again.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn next_check(&self, now: Millis, counts_until: Millis, condition: &Condition) -> Millis {
        let waiting = condition.load.saturating_sub(condition.slots);
        let wait_ms = condition.pending_ms + condition.pace * QUEUED_MS * waiting as f64;
        let least = Millis(self.target.0 / MIN_EXTENSION_PARTS);
        let span = Millis(wait_ms as u64).min(counts_until - now);
        now + span.max(least)
    }
}
