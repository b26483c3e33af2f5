//! Rows that outlive a daemon, stored in the platform's table or replicated among the daemons.
//!
//! Rows refer to objects by their published names, never by arena keys, since a key is valid in one
//! process only. `docs/INTERFACES.md` specifies the form of each row.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Generation;
use crate::units::Millis;

/// `Head` refers to the published object set in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the generation.
    pub generation: Generation,
    /// Content address (SHA-256) of the snapshot.
    pub digest: String,
    /// Content address of the delta from the previous generation, where there is one.
    pub delta: Option<String>,
    /// Name of the person or program that published the set.
    pub author: String,
    /// Unique identifier of the publication, by which a publisher that lost the answer finds out
    /// whether it succeeded.
    pub publish: String,
}

/// `Reply` is the stored answer of a non-idempotent request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// `Outcome` is the outcome of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The attempt may be running or may have run; it is never sent again.
    Open,
    /// The attempt certainly did not run; another attempt may take over the row.
    NotRun,
    /// The attempt ran and got this answer.
    Answered(Reply),
}

/// `Attempt` is the row for one pair of organisation and idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Unique identifier of the attempt that owns the row.
    pub attempt: String,
    /// SHA-256 of method, path and body.
    pub request: String,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// `Lease` is the row of a duty that only one daemon at a time performs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Name and incarnation of the daemon that holds the lease.
    pub holder: String,
    /// Fencing token, greater with each new holder.
    pub epoch: u64,
    /// Number of renewals, by which other daemons see that the holder is alive without comparing
    /// clocks.
    pub renewal: u64,
}

/// `Status` is the state of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The rollout is in progress.
    Moving,
    /// The rollout is finished and the new version serves.
    Done,
    /// The rollout was rolled back and the old version serves.
    Undone,
}

/// `Move` is the row of one rollout and the only record of its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// State of the rollout.
    pub status: Status,
    /// Index of the step in force.
    pub step: u64,
    /// Reason for this state.
    pub reason: String,
    /// Unix time of the last change.
    pub at_unix_ms: Millis,
    /// Deadline of the rollout object, by which rollouts of one name are distinguished.
    pub deadline_unix_ms: Millis,
}

/// `Count` is the evidence of one daemon on one version of a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Count {
    /// Answers that were complete and met the targets.
    pub good: u64,
    /// Answers that failed or missed the targets.
    pub bad: u64,
}

/// `Daemon` is the state that a daemon reports to the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Daemon {
    /// Unix time in milliseconds at which the process started, by which a restart is
    /// distinguished from a reconnection.
    pub incarnation: u64,
    /// Number of the heartbeat, greater with each one.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Address at which other daemons reach it.
    pub peers: String,
    /// Availability zone.
    pub zone: String,
    /// Generation in force.
    pub generation: Generation,
    /// Tokens served since the start, by organisation.
    pub usage: BTreeMap<String, u64>,
    /// Evidence since the start, by rollout, route and version.
    pub evidence: BTreeMap<String, Count>,
}

/// `Handover` is a chat that another daemon may have to continue.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// Identifier of the request, also part of the path at which its caller resumes it.
    pub id: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Body of the request.
    pub body: String,
    /// Tokens that were already sent to the caller.
    pub emitted: Vec<String>,
    /// Unix time after which the caller no longer waits for the answer.
    pub deadline_unix_ms: Millis,
}

/// `Work` is a request that was accepted and runs in the background.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Content address of the request's body.
    pub request: String,
    /// Lease of the daemon that processes it.
    pub lease: Option<Lease>,
}

/// `Finished` is work that has its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Name of the organisation.
    pub organisation: String,
    /// Content address of the request's body.
    pub request: String,
    /// Content address of the answer.
    pub answer: String,
}

/// `Key` identifies one replicated row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// A daemon, by name.
    Daemon(String),
    /// The head of the object set.
    Head,
    /// An upstream that is leaving, by name and incarnation.
    Leaving(String, u64),
    /// The row of a rollout, by name and deadline.
    Move(String, Millis),
    /// A veto against the new version of a rollout, by name and deadline of the rollout.
    Veto(String, Millis),
}

/// `Value` is the content of one replicated row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Value {
    /// State of a daemon.
    Daemon(Daemon),
    /// The head of the object set.
    Head(Head),
    /// Unix time at which the upstream will be gone; this is never revoked.
    Leaving(Millis),
    /// State of a rollout.
    Move(Move),
    /// Reason for the veto against the new version; this is never revoked.
    Veto(String),
}

impl Value {
    /// Returns the precedence of the value: of two values of one key, the one with the greater
    /// precedence is kept.
    #[must_use]
    pub fn precedence(&self) -> (u64, u64) {
        match self {
            Self::Daemon(daemon) => (daemon.incarnation, daemon.heartbeat),
            Self::Head(head) => (head.generation.0, 0),
            Self::Leaving(_) | Self::Veto(_) => (0, 0),
            Self::Move(row) => (row.status as u64, row.step),
        }
    }

    /// Whether the row must be sent to the other daemons at once instead of with the next exchange.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        !matches!(self, Self::Daemon(_))
    }
}
