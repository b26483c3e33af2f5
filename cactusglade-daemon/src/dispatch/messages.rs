//! Messages of the dispatch service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::meta;
use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_core::row::Move;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Counters;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::dispatch::Submission;
use cactusglade_policy::rollout::Detector;
use kameo::Reply;
use kameo::actor::Recipient;
use tokio::sync::mpsc;

use crate::peer::messages::Gossip;
use cactusglade_link::link::Connection;

/// `Instruction` tells a request task what to do next.
#[derive(Debug)]
pub enum Instruction {
    /// Make an attempt at an upstream.
    Assign(Box<Assignment>),
    /// Answer with this error; the ticket is closed.
    Refuse(Kind),
    /// Stop the attempt and ask for another: the upstream is about to leave.
    Move,
}

/// `Assignment` holds the upstream and the connection for one attempt.
#[derive(Debug)]
pub struct Assignment {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// The upstream of the attempt.
    pub upstream: arena::Upstream,
    /// Socket address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream, for logs.
    pub name: String,
    /// Name of the model version to request; `None` for a plain service.
    pub version: Option<String>,
    /// An idle connection to the upstream for reuse, if there is one.
    pub connection: Option<Connection>,
}

/// `Admit` asks for the admission of a request.
///
/// The request receives its instructions through the channel, and closes its ticket by dropping
/// the receiver.
#[derive(Debug)]
pub struct Admit {
    /// The request's needs, cost and deadline.
    pub submission: Submission,
    /// Channel for instructions to the request task.
    pub instructions: mpsc::Sender<Instruction>,
}

/// `Retry` reports a failed attempt and asks for another.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// Reason for which the last attempt ended.
    pub cause: Cause,
}

/// `Finish` closes a ticket and returns the connection for reuse.
#[derive(Debug)]
pub struct Finish {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// The upstream of the last attempt.
    pub upstream: arena::Upstream,
    /// The result of the last attempt.
    pub report: Report,
    /// The connection, if it is reusable.
    pub connection: Option<Connection>,
}

/// `Adopt` puts an object set in force; the reply is `false` if its generation is not newer.
#[derive(Clone, Debug)]
pub struct Adopt(pub Arc<Set>);

/// `Subscribe` sets the recipient of rows for other daemons, a service that starts after this one.
#[derive(Clone, Debug)]
pub struct Subscribe(pub Recipient<Gossip>);

/// `Update` is a fact that the peer service received.
#[derive(Clone, Debug)]
pub enum Update {
    /// An upstream incarnation is leaving: name, incarnation, and the Unix time of its end.
    Leaving(String, u64, Millis),
    /// The state of a rollout: name and row.
    Move(String, Move),
    /// A veto of a rollout's new version: name and deadline (Unix time) of the rollout, and reason.
    Veto(String, Millis, String),
    /// Usage and evidence that another daemon has added since its last report.
    Daemon(Box<Daemon>),
}

/// `Apply` applies facts that the peer service received.
#[derive(Clone, Debug)]
pub struct Apply(pub Vec<Update>);

/// `Summarise` asks for the totals that the daemon reports to its peers and in its status.
#[derive(Clone, Copy, Debug)]
pub struct Summarise;

/// `Summary` holds totals since the daemon started, and current counts of requests.
#[derive(Clone, Debug, Default, Reply)]
pub struct Summary {
    /// Tokens served, by name of the organisation.
    pub usage: BTreeMap<String, u64>,
    /// Evidence of rollouts, by `rollout/route/arm`.
    pub evidence: BTreeMap<String, Count>,
    /// Counters of the dispatch policy.
    pub counters: Counters,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Number of requests with an open ticket, waiting ones included.
    pub open: usize,
}

/// `Inspect` asks for the state of all rollouts.
#[derive(Clone, Copy, Debug)]
pub struct Inspect;

/// `Inspection` is the state of one rollout as known to this daemon.
#[derive(Clone, Debug, Reply)]
pub struct Inspection {
    /// Name of the rollout.
    pub name: String,
    /// The rollout's object in the set in force.
    pub object: meta::Rollout,
    /// The change detector over the evidence of all routes.
    pub detector: Detector,
    /// Reason of the veto, if the new version was vetoed.
    pub veto: Option<String>,
    /// The latest known row of the rollout, if there is one.
    pub row: Option<Move>,
}

/// `Tick` runs the time-dependent steps; the reply says whether the next tick should follow soon.
#[derive(Clone, Copy, Debug)]
pub struct Tick;
