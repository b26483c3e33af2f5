//! What follows from each way in which sending a request can end.
//!
//! The one place that decides whether a request may be sent again and whether a refusal may say
//! that it did not run. See `docs/PLATFORM.md`.

use cactusglade_core::catalog::Semantics;
use cactusglade_core::errors::Kind;

/// Tries at upstreams that could not even be sent the request, or that another one answered for.
const MAX_TRIES: u64 = 4;

/// `Outcome` is how one sending ended without a whole good answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No byte of the request left.
    Unsent,
    /// Another upstream has the address, which did not run it.
    Misdirected,
    /// The upstream proved that it did not run it.
    Unrun,
    /// The connection was lost, or the answer was none; it may have run.
    Lost,
    /// The upstream answered with a failure of its own; it may have run.
    Failed {
        /// Whether a caller would take the failure for a promise that it did not run.
        is_promise: bool,
    },
    /// A stream ended before its end, or fell silent.
    Broken,
}

/// `Next` is what to do then.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Send it to another upstream.
    Again,
    /// Pass the upstream's own failure on.
    Pass,
    /// Answer with this error.
    Give(Kind),
    /// Break the answer that has begun off.
    Abort,
}

/// `Attempt` remembers what was done with one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    repeat: Semantics,
    /// Most upstreams that may be sent the request.
    most: u64,
    tries: u64,
    sent: u64,
    may_have_run: bool,
    has_begun: bool,
}

impl Attempt {
    /// Starts with a request that was sent to nobody.
    #[must_use]
    pub const fn new(repeat: Semantics, most: u64) -> Self {
        Self {
            repeat,
            most,
            tries: 0,
            sent: 0,
            may_have_run: false,
            has_begun: false,
        }
    }

    /// Notes that part of the answer has reached the caller.
    pub const fn begin(&mut self) {
        self.has_begun = true;
    }

    /// Whether the next sending is one beyond the first that arrived.
    #[must_use]
    pub const fn is_repeat(&self) -> bool {
        self.sent > 0
    }

    /// How many upstreams were sent the request.
    #[must_use]
    pub const fn sent(&self) -> u64 {
        self.sent
    }

    /// Whether it may have run somewhere.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Notes that a sending ended like this and says what to do.
    pub fn ended(&mut self, outcome: Outcome) -> Next {
        self.tries += 1;
        match outcome {
            Outcome::Unsent => return self.elsewhere(Kind::NoUpstream),
            Outcome::Misdirected => {
                self.sent += 1;
                return self.elsewhere(Kind::NoUpstream);
            }
            Outcome::Unrun => {
                self.sent += 1;
                if self.sent < self.most {
                    return Next::Again;
                }
                return self.last(Kind::Overloaded);
            }
            Outcome::Lost | Outcome::Failed { .. } | Outcome::Broken => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        if self.repeat.is_retryable() && self.sent < self.most {
            return Next::Again;
        }
        if self.has_begun {
            return Next::Abort;
        }
        match outcome {
            Outcome::Failed { is_promise } if !is_promise || self.repeat.is_retryable() => {
                Next::Pass
            }
            _ => Next::Give(Kind::UpstreamLost),
        }
    }

    /// What to do when no upstream can be had, or time is over, for this reason.
    #[must_use]
    pub const fn last(&self, kind: Kind) -> Next {
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

    const fn elsewhere(&self, kind: Kind) -> Next {
        if self.tries < MAX_TRIES {
            Next::Again
        } else {
            self.last(kind)
        }
    }
}
