//! The service that exchanges rows with other daemons.

mod handover;
pub mod messages;
pub mod reach;
mod server;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::row::Daemon;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;
use cactusglade_policy::gossip;
use cactusglade_policy::gossip::State;
use cactusglade_policy::gossip::Transition;
use cactusglade_wire::peer::Batch;
use cactusglade_wire::peer::PeerClient;
use cactusglade_wire::peer::Pull;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Recipient;
use kameo::actor::ReplyRecipient;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use slog::Logger;
use slog::debug;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::config::messages::Announce;
use crate::config::messages::Joined;
use crate::config::messages::Snapshot;
use crate::dispatch::messages::Learn;
use crate::dispatch::messages::Lesson;
use crate::dispatch::messages::Summarise;
use crate::dispatch::messages::Summary;
use crate::metrics::Metrics;
use crate::relay::Relay;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "peer";
/// Peers that an urgent row is pushed to.
const FANOUT: usize = 4;
/// Time between two heartbeats.
const BEAT: Millis = Millis(1_000);
/// Time after which a daemon goes on without having heard from any peer.
const JOIN: Millis = Millis(1_500);
/// Askers that are remembered before their rows are known.
const MAX_ASKERS: usize = 64;

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address that peers reach it at.
    pub address: SocketAddr,
    /// Address that it connects to peers from.
    pub local: IpAddr,
    /// The socket that peers connect to.
    pub listener: std::net::TcpListener,
    /// Addresses tried until others are known.
    pub seeds: Vec<SocketAddr>,
    /// Time between two exchanges.
    pub gossip: Millis,
    /// The set in force.
    pub sets: watch::Receiver<Arc<Set>>,
    /// Takes what was learnt from others.
    pub lessons: Recipient<Learn>,
    /// Says what others are told of this daemon.
    pub summaries: ReplyRecipient<Summarise, Summary>,
    /// Takes heads that others know.
    pub heads: Recipient<Announce>,
    /// Told once that the peers have said what they know.
    pub joins: Recipient<Joined>,
    /// Gives the snapshot in force.
    pub snapshots: ReplyRecipient<Snapshot, Option<String>>,
    /// The service that keeps chats which were handed over.
    pub relay: ActorRef<Relay>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Peer` owns what the daemon knows of the others.
#[derive(Debug)]
pub struct Peer {
    options: Options,
    incarnation: u64,
    state: State,
    beat: u64,
    beaten: Option<Millis>,
    clients: BTreeMap<SocketAddr, PeerClient>,
    pulled: BTreeMap<SocketAddr, Pull>,
    hosts: Vec<SocketAddr>,
    /// Addresses of daemons that have asked this one.
    askers: BTreeSet<SocketAddr>,
    /// Whether a peer has answered, or too long a time has passed without.
    joined: bool,
    /// Ends the listening task when the service ends.
    _stop: oneshot::Sender<()>,
}

pub use messages::Answer;
pub use messages::Find;
pub use messages::HandOver;
pub use messages::Hosts;
pub use messages::List;
pub use messages::Listing;
pub use messages::Receive;
pub use messages::Spread;

use reach::connect;
use reach::deadline;
use reach::push;

struct Tick;

struct Pulled {
    address: SocketAddr,
    client: Option<PeerClient>,
    batch: Option<Batch>,
}

impl Actor for Peer {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(mut options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let (stop, stopped) = oneshot::channel();
        if let Ok(listener) = options.listener.try_clone() {
            let serve = server::Server {
                answers: actor.clone().reply_recipient(),
                received: actor.clone().recipient(),
                snapshots: options.snapshots.clone(),
                relay: options.relay.clone(),
            };
            tokio::spawn(server::listen(listener, serve, stopped));
        }
        options.seeds.retain(|seed| *seed != options.address);
        let gossip = Duration::from_millis(options.gossip.0);
        tokio::spawn(tick(actor.downgrade(), gossip));
        Ok(Self {
            options,
            incarnation: clock::unix_time().0,
            state: State::default(),
            beat: 0,
            beaten: None,
            clients: BTreeMap::new(),
            pulled: BTreeMap::new(),
            hosts: Vec::new(),
            askers: BTreeSet::new(),
            joined: false,
            _stop: stop,
        })
    }
}

/// Sends ticks until the service has ended.
async fn tick(actor: WeakActorRef<Peer>, gossip: Duration) {
    loop {
        tokio::time::sleep(gossip).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.tell(Tick).await.is_err() {
            return;
        }
    }
}

impl Message<Tick> for Peer {
    type Reply = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self, ()>) {
        let now = self.options.clock.now();
        if self.beaten.is_none_or(|beaten| now - beaten >= BEAT) {
            self.beaten = Some(now);
            self.heartbeat(now).await;
        }
        self.state.expire(now);
        if now >= JOIN {
            self.join().await;
        }
        let Some(address) = self.peers(now).choose(&mut rand::rng()).copied() else {
            return;
        };
        let known = self.clients.get(&address).cloned();
        let local = self.options.local;
        let pull = Pull {
            from: Some(self.options.address),
            ..self.pulled.get(&address).copied().unwrap_or_default()
        };
        context.pipe(async move {
            let client = match known {
                Some(client) => Some(client),
                None => connect(local, address).await,
            };
            let batch = match &client {
                Some(client) => client.pull(deadline(), pull).await.ok(),
                None => None,
            };
            Pulled {
                address,
                client,
                batch,
            }
        });
    }
}

impl Message<Pulled> for Peer {
    type Reply = ();

    async fn handle(&mut self, pulled: Pulled, _: &mut Context<Self, ()>) {
        let Pulled {
            address,
            client,
            batch,
        } = pulled;
        if let (Some(client), Some(batch)) = (client, batch) {
            self.clients.insert(address, client);
            let pull = Pull {
                incarnation: batch.incarnation,
                changes: batch.changes,
                from: None,
            };
            self.pulled.insert(address, pull);
            self.receive(batch.rows).await;
            self.join().await;
        } else {
            debug!(self.options.log, "peer_unreachable"; "peer" => %address);
            self.clients.remove(&address);
            self.askers.remove(&address);
        }
    }
}

impl Message<Spread> for Peer {
    type Reply = ();

    async fn handle(&mut self, spread: Spread, _: &mut Context<Self, ()>) {
        self.receive(spread.0).await;
    }
}

impl Message<Receive> for Peer {
    type Reply = ();

    async fn handle(&mut self, received: Receive, _: &mut Context<Self, ()>) {
        self.receive(received.0).await;
    }
}

impl Message<Answer> for Peer {
    type Reply = Option<Batch>;

    async fn handle(
        &mut self,
        asked: Answer,
        _: &mut Context<Self, Option<Batch>>,
    ) -> Option<Batch> {
        if let Some(from) = asked.0.from
            && self.askers.len() < MAX_ASKERS
        {
            self.askers.insert(from);
        }
        let same = asked.0.incarnation == self.incarnation;
        let (changes, rows) = self
            .state
            .changes_since(if same { asked.0.changes } else { 0 });
        Some(Batch {
            incarnation: self.incarnation,
            changes,
            rows,
        })
    }
}

impl Message<List> for Peer {
    type Reply = Listing;

    async fn handle(&mut self, _: List, _: &mut Context<Self, Listing>) -> Listing {
        let rows = self.state.rows();
        let alive = self.state.alive(self.options.clock.now());
        Listing {
            rows: rows
                .map(|(key, value)| (key.clone(), value.clone()))
                .collect(),
            alive: alive.into_iter().map(|(name, _)| name).collect(),
        }
    }
}

impl Message<Hosts> for Peer {
    type Reply = ();

    async fn handle(&mut self, hosts: Hosts, _: &mut Context<Self, ()>) {
        self.hosts = hosts.0;
    }
}

impl Peer {
    /// Peers that may be reached, in the order of their addresses.
    fn peers(&self, now: Millis) -> Vec<SocketAddr> {
        let alive = self.state.alive(now);
        let known = alive.iter().filter_map(|(_, address)| address.parse().ok());
        let listed = self.options.seeds.iter().chain(&self.hosts);
        let listed = listed.chain(&self.askers).copied();
        let mut peers = known.chain(listed).collect::<Vec<SocketAddr>>();
        peers.retain(|address| *address != self.options.address);
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Lets the configuration service trust the store from now on.
    async fn join(&mut self) {
        if !self.joined {
            self.joined = true;
            // The configuration ends before this service only when the daemon does.
            let _ = self.options.joins.tell(Joined).await;
        }
    }

    async fn heartbeat(&mut self, now: Millis) {
        self.beat += 1;
        // The dispatch ends before this service only when the daemon does.
        let summary = self
            .options
            .summaries
            .ask(Summarise)
            .await
            .unwrap_or_default();
        let generation = self.options.sets.borrow().generation;
        let daemon = Daemon {
            incarnation: self.incarnation,
            heartbeat: self.beat,
            peers: self.options.address.to_string(),
            zone: self.options.zone.clone(),
            generation,
            usage: summary.usage,
            evidence: summary.evidence,
        };
        let key = Key::Daemon(self.options.name.clone());
        self.state.merge(now, vec![(key, Value::Daemon(daemon))]);
    }

    /// Merges rows, tells the services what is news, and pushes what is urgent.
    async fn receive(&mut self, rows: Vec<(Key, Value)>) {
        let now = self.options.clock.now();
        let own = Key::Daemon(self.options.name.clone());
        let rows = rows
            .into_iter()
            .filter(|(key, _)| *key != own)
            .collect::<Vec<_>>();
        self.options.metrics.gossip_bytes.inc_by(size(&rows));
        let news = self.state.merge(now, rows);
        if news.is_empty() {
            return;
        }
        let lessons = news.iter().filter_map(lesson).collect();
        let _ = self.options.lessons.tell(Learn(lessons)).await;
        for one in &news {
            if let Value::Head(head) = &one.value {
                let peers = self.peers(now).iter().map(ToString::to_string).collect();
                let announce = Announce {
                    head: head.clone(),
                    from_store: false,
                    peers,
                };
                let _ = self.options.heads.tell(announce).try_send();
            }
        }
        let urgent = news.into_iter().filter(|one| one.value.is_urgent());
        let urgent = urgent.map(|one| (one.key, one.value)).collect::<Vec<_>>();
        self.push(now, &urgent);
    }

    fn push(&self, now: Millis, rows: &[(Key, Value)]) {
        if rows.is_empty() {
            return;
        }
        let mut peers = self.peers(now);
        peers.shuffle(&mut rand::rng());
        for address in peers.into_iter().take(FANOUT) {
            let rows = rows.to_vec();
            let known = self.clients.get(&address).cloned();
            self.options.metrics.gossip_bytes.inc_by(size(&rows));
            tokio::spawn(push(self.options.local, address, known, rows));
        }
    }
}

fn lesson(news: &Transition) -> Option<Lesson> {
    match (&news.key, &news.value) {
        (Key::Leaving(name, incarnation), Value::Leaving(gone)) => {
            Some(Lesson::Leaving(name.clone(), *incarnation, *gone))
        }
        (Key::Move(name, _), Value::Move(row)) => Some(Lesson::Move(name.clone(), row.clone())),
        (Key::Veto(name, deadline), Value::Veto(reason)) => {
            Some(Lesson::Veto(name.clone(), *deadline, reason.clone()))
        }
        (Key::Daemon(_), Value::Daemon(daemon)) => {
            let before = match &news.before {
                Some(Value::Daemon(before)) => Some(before),
                _ => None,
            };
            Some(Lesson::Daemon(Box::new(gossip::difference(before, daemon))))
        }
        _ => None,
    }
}

/// Bytes of rows as they would be written in JSON, which is above what the peers' codec takes.
fn size(rows: &[(Key, Value)]) -> u64 {
    let bytes = serde_json::to_vec(rows).map_or(0, |bytes| bytes.len());
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
