//! Decides what follows when sending a request to an upstream fails.
//!
//! This is the only place that decides whether a request may be retried, and whether an error may
//! state that the request did not run. See `docs/PLATFORM.md`.

use cactusglade_core::catalog::Semantics;
use cactusglade_core::errors::Kind;

/// Maximum number of attempts while none has reached the upstream that it was meant for.
const MAX_ATTEMPTS: u64 = 4;

/// `Outcome` is the way in which one attempt to send a request failed.
///
/// The variants' names are written to the log as `outcome`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No byte of the request was sent.
    Unsent,
    /// Another upstream now has the address; it rejected the request without running it.
    Misdirected,
    /// The upstream stated that it did not run the request.
    Unrun,
    /// The connection was lost or the answer was invalid; the request may have run.
    Lost,
    /// The upstream answered with an error; the request may have run.
    Failed {
        /// Whether a caller would read the error as a statement that the request did not run.
        is_promise: bool,
    },
    /// A stream stopped before its last event, or exceeded the time between events.
    Broken,
}

/// `Next` is the action to take after a failed attempt.
///
/// The variants' names are written to the log as `next`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send the request to another upstream.
    Again,
    /// Forward the upstream's error to the caller.
    Pass,
    /// Answer the caller with this error.
    Give(Kind),
    /// Abort the answer, part of which has reached the caller.
    Abort,
}

/// `Attempt` tracks the attempts to send one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    semantics: Semantics,
    /// Maximum number of upstreams that may receive the request.
    max_sent: u64,
    attempts: u64,
    sent: u64,
    may_have_run: bool,
    has_begun: bool,
}

impl Attempt {
    /// Starts with a request that has not been sent.
    #[must_use]
    pub const fn new(semantics: Semantics, max_sent: u64) -> Self {
        Self {
            semantics,
            max_sent,
            attempts: 0,
            sent: 0,
            may_have_run: false,
            has_begun: false,
        }
    }

    /// Records that part of the answer has reached the caller.
    pub const fn begin_answer(&mut self) {
        self.has_begun = true;
    }

    /// Returns whether the next attempt is a retry, that is, an upstream has received the request.
    #[must_use]
    pub const fn is_retry(&self) -> bool {
        self.sent > 0
    }

    /// Returns the number of upstreams that have received the request.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns whether the request may have run on any upstream.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records the outcome of a failed attempt and returns the action to take.
    pub fn record_failure(&mut self, outcome: Outcome) -> Next {
        self.attempts += 1;
        match outcome {
            Outcome::Unsent => return self.retry_or_give_up(Kind::NoUpstream),
            Outcome::Misdirected => {
                self.sent += 1;
                return self.retry_or_give_up(Kind::NoUpstream);
            }
            Outcome::Unrun => {
                self.sent += 1;
                if self.sent < self.max_sent {
                    return Next::Again;
                }
                return self.give_up(Kind::Overloaded);
            }
            Outcome::Lost | Outcome::Failed { .. } | Outcome::Broken => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        if self.semantics.is_retryable() && self.sent < self.max_sent {
            return Next::Again;
        }
        if self.has_begun {
            return Next::Abort;
        }
        match outcome {
            Outcome::Failed { is_promise } if !is_promise || self.semantics.is_retryable() => {
                Next::Pass
            }
            _ => Next::Give(Kind::UpstreamLost),
        }
    }

    /// Returns the action when the request can't be sent again for this reason.
    ///
    /// An error that states that the request did not run is replaced where it may have run.
    #[must_use]
    pub const fn give_up(&self, kind: Kind) -> Next {
        if self.has_begun {
            return Next::Abort;
        }
        if !self.may_have_run {
            return Next::Give(kind);
        }
        match kind {
            Kind::Expired | Kind::DeadlineExceeded => Next::Give(Kind::DeadlineExceeded),
            _ => Next::Give(Kind::UpstreamLost),
        }
    }

    const fn retry_or_give_up(&self, kind: Kind) -> Next {
        if self.attempts < MAX_ATTEMPTS {
            Next::Again
        } else {
            self.give_up(kind)
        }
    }
}
