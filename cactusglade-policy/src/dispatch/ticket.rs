//! State of one request in the dispatch.

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Count;
use cactusglade_core::units::Millis;

use crate::pool::Need;
use crate::prefix::Prompt;

/// `Submission` describes a request.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Organisation that sent the request.
    pub organisation: arena::Organisation,
    /// Route of the request.
    pub route: arena::Route,
    /// Prompt, empty for a plain service.
    pub prompt: Prompt,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Deadline on the daemon's monotonic clock.
    pub deadline: Millis,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// `Grant` assigns an upstream to a request for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Ticket of the request.
    pub ticket: arena::Ticket,
    /// Key of the upstream.
    pub upstream: arena::Upstream,
    /// Model version to request, for a chat.
    pub version: Option<arena::Version>,
}

/// `Cause` is the reason why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The upstream refused the request, and proved that it did not run.
    Refused,
    /// The connection was lost; the request is idempotent.
    Lost,
    /// The connection was lost after part of the answer had reached the caller.
    Broken,
    /// The upstream is leaving.
    Leaving,
}

impl Cause {
    /// Returns whether the upstream must back off.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        !matches!(self, Self::Leaving)
    }

    /// Returns whether the caller may have received part of the answer.
    #[must_use]
    pub const fn has_progress(self) -> bool {
        matches!(self, Self::Broken | Self::Leaving)
    }

    /// Returns the error kind if the request is not retried.
    #[must_use]
    pub const fn kind(self) -> Kind {
        match self {
            Self::Refused => Kind::UpstreamRefused,
            Self::Lost => Kind::UpstreamLost,
            Self::Broken | Self::Leaving => Kind::StreamBroken,
        }
    }
}

/// `Verdict` classifies the result of a request for its upstream and version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer was complete and met the targets.
    Good,
    /// The answer was complete but missed a target.
    Slow,
    /// The upstream failed the request.
    Fault,
    /// The result is no evidence, for example because the caller disconnected.
    Neutral,
}

impl Verdict {
    /// Returns the evidence on the version, if there is any.
    #[must_use]
    pub const fn count(self) -> Option<Count> {
        match self {
            Self::Good => Some(Count { good: 1, bad: 0 }),
            Self::Slow | Self::Fault => Some(Count { good: 0, bad: 1 }),
            Self::Neutral => None,
        }
    }
}

/// `Report` is the result of a request.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Classification for the upstream and the version.
    pub verdict: Verdict,
    /// Tokens used for prompt and answer.
    pub tokens: u64,
    /// Time from sending the request to the first token or the head of the answer.
    pub first_token: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// The request waits in a queue.
    Waiting,
    /// The request runs on an upstream.
    Running(arena::Upstream),
}

#[derive(Clone, Debug)]
pub struct Ticket {
    pub submission: Submission,
    pub need: Option<Need>,
    pub phase: Phase,
    pub tried: Vec<arena::Upstream>,
    pub attempts: u32,
    /// Tokens that the grants have charged in the queue.
    pub charged: u64,
    /// Whether the caller may have received part of the answer, which pins the version.
    pub has_progress: bool,
    /// Whether an attempt failed, after which the old version of a rollout is used.
    pub uses_old_version: bool,
    /// Whether an attempt ended without proof that the request did not run.
    pub may_have_run: bool,
}

impl Ticket {
    pub const fn new(submission: Submission) -> Self {
        Self {
            submission,
            need: None,
            phase: Phase::Waiting,
            tried: Vec::new(),
            attempts: 0,
            charged: 0,
            has_progress: false,
            uses_old_version: false,
            may_have_run: false,
        }
    }

    /// Returns the random number that selects the version.
    ///
    /// 1.0 selects the old version unless the rollout is done.
    pub const fn draw(&self) -> f64 {
        if self.uses_old_version {
            1.0
        } else {
            self.submission.draw
        }
    }

    /// Moves the request back to the waiting phase and returns the upstream that it ran on.
    pub fn stop(&mut self) -> Option<arena::Upstream> {
        match self.phase {
            Phase::Running(upstream) => {
                self.phase = Phase::Waiting;
                Some(upstream)
            }
            Phase::Waiting => None,
        }
    }

    pub const fn version(&self) -> Option<arena::Version> {
        match self.need {
            Some(Need::Version(version)) => Some(version),
            _ => None,
        }
    }

    /// Returns the error kind of a refusal; it never states "not run" if an attempt may have run.
    pub fn refusal_kind(&self, kind: Kind) -> Kind {
        match kind.answer().ran {
            Ran::No if self.has_progress => Kind::StreamBroken,
            Ran::No if self.may_have_run => Kind::UpstreamLost,
            _ => kind,
        }
    }

    /// Returns the error kind if the deadline passes while the request waits.
    pub const fn expiry_kind(&self) -> Kind {
        if self.has_progress {
            Kind::StreamBroken
        } else if self.attempts > 0 {
            Kind::DeadlineExceeded
        } else {
            Kind::Expired
        }
    }
}
