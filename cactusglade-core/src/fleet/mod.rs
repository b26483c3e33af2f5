//! Upstreams as they are registered.

use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;
use crate::units::Millis;
use crate::units::Rate;

/// `Phase` says whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and then stops.
    Leaving,
}

/// `Instance` is one upstream as registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name, unique among the upstreams that are registered at one time.
    pub name: String,
    /// Unix time of its start in milliseconds, by which two instances of one name are
    /// distinguished.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// Name of its service.
    pub service: String,
    /// Address at which it serves requests.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it can process at the same time.
    pub slots: u64,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Whether its host may be reclaimed.
    pub reclaimable: bool,
    /// Time for which it is still cold, as stated when the entry was written.
    pub cold_left: Millis,
}

/// `Change` is one change of the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The upstream was registered, or its entry has changed.
    Put(Box<Instance>),
    /// The entry of the upstream with this name was removed.
    Removed(String),
}

/// `Sighting` is what a daemon has seen of an upstream and shares with the others.
///
/// In a large fleet a daemon sends an upstream a request every few seconds, so that its own
/// requests say little about the upstream's load, or whether it still answers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Number of running and waiting requests that the upstream stated last.
    pub load: Option<u64>,
    /// Time that a prompt waited there beyond the time to read it, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Hash of the name of the daemon that lost a request at the upstream.
    pub lost_by: Option<u32>,
}

impl Sighting {
    /// Creates a sighting that says nothing yet.
    #[must_use]
    pub const fn new(upstream: u32) -> Self {
        Self {
            upstream,
            load: None,
            delay_ms: None,
            lost_by: None,
        }
    }

    /// Takes over what a later sighting of the same upstream says.
    pub fn update(&mut self, later: &Self) {
        self.load = later.load.or(self.load);
        self.delay_ms = later.delay_ms.or(self.delay_ms);
        self.lost_by = later.lost_by.or(self.lost_by);
    }
}

/// `Limit` is what a daemon shares about the requests that an upstream takes from all daemons
/// together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Requests that it takes, `None` if it states no limit.
    pub rate: Option<Rate>,
    /// Milliseconds since this is known to have held.
    pub age_ms: u64,
}

impl Limit {
    /// Returns the same statement some time later.
    #[must_use]
    pub const fn aged(mut self, span: Millis) -> Self {
        self.age_ms = self.age_ms.saturating_add(span.0);
        self
    }
}

/// `Pace` is what a daemon shares about the time that work takes at an upstream; paces are in percent of
/// the usual time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Pace {
    /// The upstream stated its pace.
    Stated {
        /// Hash of the upstream's name.
        upstream: u32,
        /// Pace as stated.
        percent: u64,
        /// Milliseconds since then.
        age_ms: u64,
        /// Mean of the paces that it stated before.
        lasting: u64,
        /// Time over which that mean was formed, in milliseconds.
        span_ms: u64,
    },
    /// A prompt was read at the upstream, which states no pace.
    Measured {
        /// Hash of the upstream's name.
        upstream: u32,
        /// Time per token, in nanoseconds.
        token_ns: u64,
    },
}

impl Pace {
    /// Returns the hash of the upstream's name.
    #[must_use]
    pub const fn upstream(&self) -> u32 {
        match self {
            Self::Stated { upstream, .. } | Self::Measured { upstream, .. } => *upstream,
        }
    }

    /// Returns the same statement some time later.
    #[must_use]
    pub const fn aged(mut self, span: Millis) -> Self {
        if let Self::Stated { age_ms, .. } = &mut self {
            *age_ms = age_ms.saturating_add(span.0);
        }
        self
    }
}

/// `Prefill` is what a daemon shares about a long prompt that it has sent to an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefill {
    /// Hash of the upstream's name.
    pub upstream: u32,
    /// Tokens that the upstream has to read.
    pub tokens: u64,
    /// Milliseconds since the prompt was sent.
    pub age_ms: u64,
}

impl Prefill {
    /// Returns the same statement some time later.
    #[must_use]
    pub const fn aged(mut self, span: Millis) -> Self {
        self.age_ms = self.age_ms.saturating_add(span.0);
        self
    }
}

/// `Evacuation` says whether the operators have ordered the evacuation of an availability zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Name of the zone.
    pub zone: String,
    /// Revision of the order, or of its end.
    pub revision: Revision,
    /// Whether the zone is to be evacuated; otherwise the evacuation is over.
    pub is_ordered: bool,
}

/// `Suspicion` is what a daemon shares about parts of prompts that may crash upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Suspicion {
    /// A request was cut as its answer began.
    Cut {
        /// Identifiers of the shared parts of its prompt.
        parts: Vec<u64>,
        /// Hash of the name of the upstream.
        upstream: u32,
        /// Milliseconds since then.
        age_ms: u64,
    },
    /// A request with the part was answered.
    Answered {
        /// Identifier of the part.
        part: u64,
        /// Milliseconds since the answer began.
        age_ms: u64,
    },
    /// Requests that have all of the parts are refused.
    Held {
        /// Identifiers of the parts.
        parts: Vec<u64>,
        /// Milliseconds since a request with the parts was last cut.
        age_ms: u64,
        /// Milliseconds for which they are still refused.
        left_ms: u64,
        /// Milliseconds since that was over.
        over_ms: u64,
        /// Length of the whole time in milliseconds.
        period_ms: u64,
    },
    /// A daemon is about to send a request that has all of the parts, although they were held.
    Claimed {
        /// Identifiers of the parts.
        parts: Vec<u64>,
        /// Rank of the claim: the lowest one goes before the others.
        rank: u64,
        /// Milliseconds since it was made.
        age_ms: u64,
    },
}

impl Suspicion {
    /// Returns the same statement some time later.
    #[must_use]
    pub fn aged(mut self, span: Millis) -> Self {
        match &mut self {
            Self::Cut { age_ms, .. }
            | Self::Answered { age_ms, .. }
            | Self::Claimed { age_ms, .. } => *age_ms += span.0,
            Self::Held {
                age_ms,
                left_ms,
                over_ms,
                ..
            } => {
                *age_ms += span.0;
                *over_ms += span.0.saturating_sub(*left_ms);
                *left_ms = left_ms.saturating_sub(span.0);
            }
        }
        self
    }
}
