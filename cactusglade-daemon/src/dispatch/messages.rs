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
use cactusglade_policy::dispatch::Arm;
use cactusglade_policy::dispatch::Ask;
use cactusglade_policy::dispatch::Cause;
use cactusglade_policy::dispatch::Counters;
use cactusglade_policy::dispatch::Report;
use cactusglade_policy::rollout::Test;
use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use tokio::sync::mpsc;

use crate::dispatch::Dispatch;
use crate::peer::Peer;
use cactusglade_link::clock;
use cactusglade_link::link::Connection;

/// Parts of a name of evidence: rollout, route and arm.
const EVIDENCE_SEPARATOR: char = '/';
const OLD: &str = "old";
const NEW: &str = "new";

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
    pub ask: Ask,
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

/// `Introduce` makes the peer service known, which starts later.
#[derive(Clone, Debug)]
pub struct Introduce(pub ActorRef<Peer>);

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
    pub test: Test,
    /// Why the new version was vetoed, if it was.
    pub veto: Option<String>,
    /// How it stands, as far as is known.
    pub row: Option<Move>,
}

/// `Tick` lets time pass; the reply says whether the next should follow soon.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Arrive> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, arrive: Arrive, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let ticket = self.policy.arrive(now, unix, arrive.ask);
        self.orders.insert(ticket, arrive.orders);
        self.act();
    }
}

impl Message<Again> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, again: Again, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let before = self.policy.counters();
        self.policy.again(now, unix, again.ticket, again.cause);
        let after = self.policy.counters();
        self.metrics.retries.inc_by(after.retried - before.retried);
        self.metrics.moves.inc_by(after.moved - before.moved);
        self.act();
    }
}

impl Message<Finish> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self, ()>) {
        self.orders.remove(&finish.ticket);
        self.keep(finish.upstream, finish.connection);
        self.finish(finish.ticket, finish.report);
        self.act();
    }
}

impl Message<Adopt> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        let adopted = self.policy.adopt(now, unix, adopt.0);
        self.act();
        adopted
    }
}

impl Message<Introduce> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, introduce: Introduce, _: &mut Context<Self, ()>) {
        self.peer = Some(introduce.0);
    }
}

impl Message<Learn> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, learn: Learn, _: &mut Context<Self, ()>) {
        for lesson in learn.0 {
            self.learn(lesson);
        }
        self.act();
    }
}

impl Message<Tick> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        self.sweep();
        self.policy.tick(now, unix);
        self.act();
        self.policy.is_busy()
    }
}

impl Message<Summarise> for Dispatch {
    type Reply = Summary;

    async fn handle(&mut self, _: Summarise, _: &mut Context<Self, Summary>) -> Summary {
        let set = self.policy.set();
        let usage = self.policy.usage().iter().filter_map(|(key, tokens)| {
            set.organisations
                .get(*key)
                .map(|organisation| (organisation.name.clone(), *tokens))
        });
        Summary {
            usage: usage.collect(),
            evidence: self.evidence(),
            counters: self.policy.counters(),
            waiting: self.policy.waiting(),
            open: self.orders.len(),
        }
    }
}

impl Message<Watch> for Dispatch {
    type Reply = Vec<Watched>;

    async fn handle(&mut self, _: Watch, _: &mut Context<Self, Vec<Watched>>) -> Vec<Watched> {
        let set = self.policy.set();
        let rollouts = set.rollouts.iter().filter_map(|(key, rollout)| {
            let trial = self.policy.trials().get(&key)?;
            Some(Watched {
                name: rollout.name.clone(),
                object: rollout.meta.clone(),
                test: *trial.test(),
                veto: trial.vetoed().map(str::to_owned),
                row: trial.row().cloned(),
            })
        });
        rollouts.collect()
    }
}

impl Dispatch {
    fn learn(&mut self, lesson: Lesson) {
        match lesson {
            Lesson::Leaving(name, incarnation, gone) => {
                let left = gone - clock::unix();
                let now = self.clock.now();
                if self.policy.leave(now, &name, incarnation, now + left) {
                    slog::info!(self.log, "upstream_leaving";
                        "upstream" => name, "incarnation" => incarnation, "left_ms" => left.0);
                }
            }
            Lesson::Move(name, row) => self.policy.moved(&name, &row),
            Lesson::Veto(name, deadline, reason) => self.policy.veto(&name, deadline, &reason),
            Lesson::Daemon(daemon) => self.learn_daemon(&daemon),
        }
    }

    fn learn_daemon(&mut self, daemon: &Daemon) {
        for (organisation, tokens) in &daemon.usage {
            self.policy.charge_remote(organisation, *tokens);
        }
        for (name, count) in &daemon.evidence {
            let mut parts = name.split(EVIDENCE_SEPARATOR);
            let (Some(rollout), Some(route), Some(arm)) =
                (parts.next(), parts.next(), parts.next())
            else {
                continue;
            };
            let arm = if arm == NEW { Arm::New } else { Arm::Old };
            self.policy.evidence(rollout, route, arm, *count);
        }
    }

    fn evidence(&self) -> BTreeMap<String, Count> {
        let set = self.policy.set();
        let mut evidence = BTreeMap::new();
        for (key, trial) in self.policy.trials() {
            let Some(rollout) = set.rollouts.get(*key) else {
                continue;
            };
            for ((route, arm), count) in trial.own() {
                let Some(route) = set.routes.get(*route) else {
                    continue;
                };
                let arm = if *arm == Arm::New { NEW } else { OLD };
                evidence.insert(format!("{}/{}/{arm}", rollout.name, route.name), *count);
            }
        }
        evidence
    }
}
