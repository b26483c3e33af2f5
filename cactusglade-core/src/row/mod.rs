//! Rows that outlive one daemon: kept in the platform's table or spread among daemons.
//!
//! Rows name things by their published names, never by keys, since keys mean nothing outside one
//! process. `docs/INTERFACES.md` gives the form of each row to the letter.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Generation;
use crate::units::Millis;

/// `Head` points to the published object set in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the generation.
    pub generation: Generation,
    /// Content address of the snapshot.
    pub digest: String,
    /// Content address of the delta from the generation before, where there is one.
    pub delta: Option<String>,
    /// Who published it.
    pub author: String,
    /// Unique number of the publishing, by which a lost answer is settled.
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

/// `Outcome` says what became of an attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It may be running, or may have run; it is never sent again.
    Open,
    /// It is proved that it did not run; another attempt may take the row over.
    NotRun,
    /// It ran and this is its answer.
    Answered(Reply),
}

/// `Attempt` is the row of one (organisation, idempotency key).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Unique number of the attempt that owns the row.
    pub attempt: String,
    /// SHA-256 over method, path and body.
    pub request: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// `Lease` is the row of a duty that one daemon at a time carries out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Name of the daemon and its incarnation.
    pub holder: String,
    /// Fencing number, greater with each new holder.
    pub epoch: u64,
    /// Counts renewals, so that a watcher sees that the holder lives without comparing clocks.
    pub renewal: u64,
}

/// `Status` says how a version move stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Under way.
    Moving,
    /// Finished: the new version serves.
    Done,
    /// Taken back: the old version serves.
    Undone,
}

/// `Move` is the row of one rollout: the one home of its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Move {
    /// How it stands.
    pub status: Status,
    /// Index of the step in force.
    pub step: u64,
    /// Why it stands so.
    pub reason: String,
    /// Unix time of the last change.
    pub at_unix_ms: Millis,
    /// Deadline of the rollout object, which tells moves of one name apart.
    pub deadline_unix_ms: Millis,
}

/// `Count` is the evidence that one daemon gathered on one version of a rollout.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Count {
    /// Answers that were whole and inside the targets.
    pub good: u64,
    /// Answers that failed or missed the targets.
    pub bad: u64,
}

/// `Daemon` is what a daemon tells the others of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Daemon {
    /// Unix time at which the process started, which tells a restart from a return.
    pub incarnation: u64,
    /// Number of the heartbeat, greater with each one.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Address for other daemons.
    pub peers: String,
    /// Availability zone.
    pub zone: String,
    /// Generation in force.
    pub generation: Generation,
    /// Tokens served since start by organisation.
    pub usage: BTreeMap<String, u64>,
    /// Evidence since start by rollout, route and version.
    pub evidence: BTreeMap<String, Count>,
}

/// `Handover` is a chat that another daemon may have to go on with.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// Names the request, and the address at which its caller resumes it.
    pub id: String,
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Body of the request.
    pub body: String,
    /// Tokens that were passed on.
    pub emitted: Vec<String>,
    /// Unix time after which no answer helps any more.
    pub deadline_unix_ms: Millis,
}

/// `Work` is a request that was accepted to be finished later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the route.
    pub route: String,
    /// Content address of the request's body.
    pub request: String,
    /// Who works on it.
    pub lease: Option<Lease>,
}

/// `Finished` is work whose answer is there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Finished {
    /// Name of the organisation.
    pub organisation: String,
    /// Content address of the request's body.
    pub request: String,
    /// Content address of the answer.
    pub answer: String,
}

/// `Key` names one spread row.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
    /// A daemon, by name.
    Daemon(String),
    /// The head of the object set.
    Head,
    /// A leaving upstream incarnation, by name and incarnation.
    Leaving(String, u64),
    /// A version move, by rollout and deadline.
    Move(String, Millis),
    /// A veto against a rollout's new version, by rollout and deadline.
    Veto(String, Millis),
}

/// `Value` is the content of one spread row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Value {
    /// What a daemon tells of itself.
    Daemon(Daemon),
    /// The head of the object set.
    Head(Head),
    /// The upstream incarnation is leaving and gone at this Unix time; it never changes back.
    Leaving(Millis),
    /// How a version move stands.
    Move(Move),
    /// Why the new version was vetoed; this never changes back.
    Veto(String),
}

impl Value {
    /// Orders the values of one key: when two are merged, the one of higher precedence is kept.
    #[must_use]
    pub fn precedence(&self) -> (u64, u64) {
        match self {
            Self::Daemon(daemon) => (daemon.incarnation, daemon.heartbeat),
            Self::Head(head) => (head.generation.0, 0),
            Self::Leaving(_) | Self::Veto(_) => (0, 0),
            Self::Move(row) => (row.status as u64, row.step),
        }
    }

    /// Whether the row must reach the others at once and not with the next exchange.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        !matches!(self, Self::Daemon(_))
    }
}
