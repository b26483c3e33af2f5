//! What the dispatch service is told and asked.

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

use crate::peer::messages::Spread;
use cactusglade_link::link::Connection;

/// `Order` tells a request what to do.
#[derive(Debug)]
pub enum Order {
    /// Make an attempt.
    Start(Box<Start>),
    /// Give this error; the ticket is closed.
    Refuse(Kind),
    /// The upstream goes away soon: ask for another attempt.
    Move,
}

/// `Start` is all that an attempt needs.
#[derive(Debug)]
pub struct Start {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// The upstream.
    pub upstream: arena::Upstream,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream, for logs.
    pub name: String,
    /// Name of the version to ask for, for a chat.
    pub version: Option<String>,
    /// An idle connection to the upstream, if there is one.
    pub connection: Option<Connection>,
}

/// `Arrive` asks for admission; orders come through the channel, whose end closes the ticket.
#[derive(Debug)]
pub struct Arrive {
    /// What the request brings along.
    pub ask: Submission,
    /// Where its orders go.
    pub orders: mpsc::Sender<Order>,
}

/// `Again` asks for another attempt.
#[derive(Clone, Copy, Debug)]
pub struct Again {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// Why the last attempt ended.
    pub cause: Cause,
}

/// `Finish` closes a ticket and gives the connection back.
#[derive(Debug)]
pub struct Finish {
    /// The request's ticket.
    pub ticket: arena::Ticket,
    /// The upstream of the last attempt.
    pub upstream: arena::Upstream,
    /// What came of it.
    pub report: Report,
    /// The connection, if it can be used again.
    pub connection: Option<Connection>,
}

/// `Adopt` puts a set in force; the reply says whether it was newer.
#[derive(Clone, Debug)]
pub struct Adopt(pub Arc<Set>);

/// `Introduce` says who spreads rows; that service starts later.
#[derive(Clone, Debug)]
pub struct Introduce(pub Recipient<Spread>);

/// `Lesson` is something that was learnt from elsewhere.
#[derive(Clone, Debug)]
pub enum Lesson {
    /// An upstream incarnation is leaving and gone at this Unix time.
    Leaving(String, u64, Millis),
    /// A rollout stands like this.
    Move(String, Move),
    /// The new version of a rollout with this deadline was vetoed.
    Veto(String, Millis, String),
    /// Another daemon did this since it was last heard of.
    Daemon(Box<Daemon>),
}

/// `Learn` passes lessons on.
#[derive(Clone, Debug)]
pub struct Learn(pub Vec<Lesson>);

/// `Summarise` asks for what the daemon tells others of itself.
#[derive(Clone, Copy, Debug)]
pub struct Summarise;

/// `Summary` of what the daemon did since it started.
#[derive(Clone, Debug, Default, Reply)]
pub struct Summary {
    /// Tokens served by organisation.
    pub usage: BTreeMap<String, u64>,
    /// Evidence by rollout, route and arm.
    pub evidence: BTreeMap<String, Count>,
    /// Totals of the policy.
    pub counters: Counters,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests in work.
    pub open: usize,
}

/// `Watch` asks how the rollouts stand.
#[derive(Clone, Copy, Debug)]
pub struct Watch;

/// `Watched` is one rollout as this daemon sees it.
#[derive(Clone, Debug, Reply)]
pub struct Watched {
    /// Name of the rollout.
    pub name: String,
    /// The object as published.
    pub object: meta::Rollout,
    /// The evidence over all routes.
    pub test: Detector,
    /// Why the new version was vetoed, if it was.
    pub veto: Option<String>,
    /// How it stands, as far as is known.
    pub row: Option<Move>,
}

/// `Tick` lets time pass; the reply says whether the next should follow soon.
#[derive(Clone, Copy, Debug)]
pub struct Tick;
