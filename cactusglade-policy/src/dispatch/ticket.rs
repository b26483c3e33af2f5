//! One request on its way through the dispatch.

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Count;
use cactusglade_core::units::Millis;

use crate::pool::Need;
use crate::prefix::Prompt;

/// `Ask` is what a request brings along.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Whose it is.
    pub organisation: arena::Organisation,
    /// Where it goes.
    pub route: arena::Route,
    /// Its prompt, empty for a plain service.
    pub prompt: Prompt,
    /// Estimated cost in tokens.
    pub cost: u64,
    /// Time on the daemon's clock after which no answer helps any more.
    pub deadline: Millis,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// `Grant` gives a request an upstream for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The request.
    pub ticket: arena::Ticket,
    /// The upstream to send it to.
    pub upstream: arena::Upstream,
    /// The version to ask for, for a chat.
    pub version: Option<arena::Version>,
}

/// `Cause` says why an attempt ended without the whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The upstream did not take it; it is proved that it did not run.
    Refused,
    /// The upstream was lost, on a request that may be run again.
    Lost,
    /// The upstream was lost after part of the answer had reached the caller.
    Broken,
    /// The upstream is leaving.
    Leaving,
}

impl Cause {
    /// Whether the upstream is to be left alone for a while.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        !matches!(self, Self::Leaving)
    }

    /// Whether the caller may have part of the answer.
    #[must_use]
    pub const fn has_progress(self) -> bool {
        matches!(self, Self::Broken | Self::Leaving)
    }

    /// The error kind when no other attempt is made.
    #[must_use]
    pub const fn kind(self) -> Kind {
        match self {
            Self::Refused => Kind::UpstreamRefused,
            Self::Lost => Kind::UpstreamLost,
            Self::Broken | Self::Leaving => Kind::StreamBroken,
        }
    }
}

/// `Verdict` says what a request's end means for its upstream and version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The answer was whole and inside the targets.
    Good,
    /// The answer was whole but missed a target.
    Slow,
    /// The upstream failed it.
    Fault,
    /// It says nothing, as when the caller went away.
    Neutral,
}

impl Verdict {
    /// What it adds to the evidence on a version.
    #[must_use]
    pub const fn count(self) -> Option<Count> {
        match self {
            Self::Good => Some(Count { good: 1, bad: 0 }),
            Self::Slow | Self::Fault => Some(Count { good: 0, bad: 1 }),
            Self::Neutral => None,
        }
    }
}

/// `Report` is what came of a request.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// What it means for the upstream and the version.
    pub verdict: Verdict,
    /// Tokens of prompt and answer that were used.
    pub tokens: u64,
    /// Time from sending to the first token or the head of the answer.
    pub first_token: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It waits in a queue.
    Waiting,
    /// It runs on an upstream.
    Running(arena::Upstream),
}

#[derive(Clone, Debug)]
pub struct Ticket {
    pub ask: Ask,
    pub need: Option<Need>,
    pub phase: Phase,
    pub tried: Vec<arena::Upstream>,
    pub attempts: u32,
    /// Tokens that its grants have charged in the queue.
    pub charged: u64,
    /// Whether the caller may have part of the answer, which ties it to its version.
    pub resumed: bool,
    /// Whether an attempt failed, after which the old version of a rollout is asked.
    pub shunned: bool,
    /// Whether an attempt ended without proof that it did not run.
    pub may_have_run: bool,
}

impl Ticket {
    pub const fn new(ask: Ask) -> Self {
        Self {
            ask,
            need: None,
            phase: Phase::Waiting,
            tried: Vec::new(),
            attempts: 0,
            charged: 0,
            resumed: false,
            shunned: false,
            may_have_run: false,
        }
    }

    /// The random number by which a version is chosen.
    ///
    /// One is above every share but that of a move that is done.
    pub const fn draw(&self) -> f64 {
        if self.shunned { 1.0 } else { self.ask.draw }
    }

    /// Takes it off the upstream that it runs on.
    pub fn leave(&mut self) -> Option<arena::Upstream> {
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

    /// The kind that it is refused with: "not run" is never said once an attempt may have run.
    pub fn last_word(&self, kind: Kind) -> Kind {
        match kind.answer().ran {
            Ran::No if self.resumed => Kind::StreamBroken,
            Ran::No if self.may_have_run => Kind::UpstreamLost,
            _ => kind,
        }
    }

    /// The error kind when its deadline passes while it waits.
    pub const fn late_kind(&self) -> Kind {
        if self.resumed {
            Kind::StreamBroken
        } else if self.attempts > 0 {
            Kind::DeadlineExceeded
        } else {
            Kind::Expired
        }
    }
}
