//! The service that exchanges rows with other daemons by gossip.

pub mod client;
mod handover;
pub mod messages;
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
use crate::dispatch::messages::Apply;
use crate::dispatch::messages::Summarise;
use crate::dispatch::messages::Summary;
use crate::dispatch::messages::Update;
use crate::metrics::Metrics;
use crate::relay::Relay;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "peer";
/// Number of peers that an urgent row is pushed to.
const PUSH_FANOUT: usize = 4;
/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(1_000);
/// Time after which a daemon counts as joined although no peer has answered.
const JOIN_TIMEOUT: Millis = Millis(1_500);
/// Maximum number of remembered addresses of daemons that pulled from this one.
const MAX_PULLERS: usize = 64;

/// `Options` holds the settings and dependencies of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address advertised to peers.
    pub address: SocketAddr,
    /// Local address of connections to peers.
    pub local_address: IpAddr,
    /// Listening socket for peers.
    pub listener: std::net::TcpListener,
    /// Peer addresses from the settings, to start the gossip with.
    pub seeds: Vec<SocketAddr>,
    /// Time between two exchanges.
    pub gossip_interval: Millis,
    /// The active object set.
    pub sets: watch::Receiver<Arc<Set>>,
    /// Recipient of changes that peers report about upstreams, rollouts and usage.
    pub updates: Recipient<Apply>,
    /// Source of the usage and evidence in the daemon's own row.
    pub summaries: ReplyRecipient<Summarise, Summary>,
    /// Recipient of heads that peers report.
    pub heads: Recipient<Announce>,
    /// Notified once, after the first exchange with a peer or its timeout.
    pub joins: Recipient<Joined>,
    /// Source of the active snapshot.
    pub snapshots: ReplyRecipient<Snapshot, Option<String>>,
    /// The service that stores chats which peers handed over.
    pub relay: ActorRef<Relay>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Peer` owns the rows of all daemons and the connections to peers.
#[derive(Debug)]
pub struct Peer {
    options: Options,
    incarnation: u64,
    state: State,
    heartbeat_number: u64,
    last_heartbeat: Option<Millis>,
    clients: BTreeMap<SocketAddr, PeerClient>,
    /// Position of the next pull from each peer.
    cursors: BTreeMap<SocketAddr, Pull>,
    /// Peer addresses in the platform's list of hosts.
    hosts: Vec<SocketAddr>,
    /// Addresses of daemons that pulled from this one.
    pullers: BTreeSet<SocketAddr>,
    /// Whether a peer has answered, or the timeout for the first answer has passed.
    joined: bool,
    /// Ends the listening task when dropped.
    _stop: oneshot::Sender<()>,
}

pub use messages::Changes;
pub use messages::Find;
pub use messages::Gossip;
pub use messages::HandOver;
pub use messages::Hosts;
pub use messages::List;
pub use messages::Listing;
pub use messages::Receive;

use client::connect;
use client::deadline;
use client::push;

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
                changes: actor.clone().reply_recipient(),
                pushes: actor.clone().recipient(),
                snapshots: options.snapshots.clone(),
                relay: options.relay.clone(),
            };
            tokio::spawn(server::listen(listener, serve, stopped));
        }
        options.seeds.retain(|seed| *seed != options.address);
        let interval = Duration::from_millis(options.gossip_interval.0);
        tokio::spawn(tick(actor.downgrade(), interval));
        Ok(Self {
            options,
            incarnation: clock::unix_time().0,
            state: State::default(),
            heartbeat_number: 0,
            last_heartbeat: None,
            clients: BTreeMap::new(),
            cursors: BTreeMap::new(),
            hosts: Vec::new(),
            pullers: BTreeSet::new(),
            joined: false,
            _stop: stop,
        })
    }
}

/// Sends a tick at each gossip interval until the service has ended.
async fn tick(actor: WeakActorRef<Peer>, interval: Duration) {
    loop {
        tokio::time::sleep(interval).await;
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
        if self
            .last_heartbeat
            .is_none_or(|last_heartbeat| now - last_heartbeat >= HEARTBEAT_INTERVAL)
        {
            self.last_heartbeat = Some(now);
            self.heartbeat(now).await;
        }
        self.state.expire(now);
        if now >= JOIN_TIMEOUT {
            self.join().await;
        }
        let Some(address) = self.peers(now).choose(&mut rand::rng()).copied() else {
            return;
        };
        let existing = self.clients.get(&address).cloned();
        let local_address = self.options.local_address;
        let pull = Pull {
            from: Some(self.options.address),
            ..self.cursors.get(&address).copied().unwrap_or_default()
        };
        context.pipe(async move {
            let client = match existing {
                Some(client) => Some(client),
                None => connect(local_address, address).await,
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
            self.cursors.insert(address, pull);
            self.receive(batch.rows).await;
            self.join().await;
        } else {
            debug!(self.options.log, "peer_unreachable"; "peer" => %address);
            self.clients.remove(&address);
            self.pullers.remove(&address);
        }
    }
}

impl Message<Gossip> for Peer {
    type Reply = ();

    async fn handle(&mut self, gossip: Gossip, _: &mut Context<Self, ()>) {
        self.receive(gossip.0).await;
    }
}

impl Message<Receive> for Peer {
    type Reply = ();

    async fn handle(&mut self, received: Receive, _: &mut Context<Self, ()>) {
        self.receive(received.0).await;
    }
}

impl Message<Changes> for Peer {
    type Reply = Option<Batch>;

    async fn handle(
        &mut self,
        request: Changes,
        _: &mut Context<Self, Option<Batch>>,
    ) -> Option<Batch> {
        if let Some(from) = request.0.from
            && self.pullers.len() < MAX_PULLERS
        {
            self.pullers.insert(from);
        }
        // A count of changes of an earlier incarnation of this daemon has no meaning here.
        let is_same_incarnation = request.0.incarnation == self.incarnation;
        let (changes, rows) = self.state.changes_since(if is_same_incarnation {
            request.0.changes
        } else {
            0
        });
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
    /// Returns the addresses of all peers known from any source, sorted and without duplicates.
    fn peers(&self, now: Millis) -> Vec<SocketAddr> {
        let alive = self.state.alive(now);
        let members = alive.iter().filter_map(|(_, address)| address.parse().ok());
        let listed = self.options.seeds.iter().chain(&self.hosts);
        let listed = listed.chain(&self.pullers).copied();
        let mut peers = members.chain(listed).collect::<Vec<SocketAddr>>();
        peers.retain(|address| *address != self.options.address);
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Notifies the configuration service once, which from then on accepts heads from the store.
    async fn join(&mut self) {
        if !self.joined {
            self.joined = true;
            // The configuration service ends before this one only when the daemon stops.
            let _ = self.options.joins.tell(Joined).await;
        }
    }

    async fn heartbeat(&mut self, now: Millis) {
        self.heartbeat_number += 1;
        // The dispatch service ends before this one only when the daemon stops.
        let summary = self
            .options
            .summaries
            .ask(Summarise)
            .await
            .unwrap_or_default();
        let generation = self.options.sets.borrow().generation;
        let daemon = Daemon {
            incarnation: self.incarnation,
            heartbeat: self.heartbeat_number,
            peers: self.options.address.to_string(),
            zone: self.options.zone.clone(),
            generation,
            usage: summary.usage,
            evidence: summary.evidence,
        };
        let key = Key::Daemon(self.options.name.clone());
        self.state.merge(now, vec![(key, Value::Daemon(daemon))]);
    }

    /// Merges rows, notifies the services of the changed ones, and pushes urgent ones to peers.
    async fn receive(&mut self, rows: Vec<(Key, Value)>) {
        let now = self.options.clock.now();
        let own = Key::Daemon(self.options.name.clone());
        let rows = rows
            .into_iter()
            .filter(|(key, _)| *key != own)
            .collect::<Vec<_>>();
        self.options.metrics.gossip_bytes.inc_by(size(&rows));
        let transitions = self.state.merge(now, rows);
        if transitions.is_empty() {
            return;
        }
        let updates = transitions.iter().filter_map(update).collect();
        let _ = self.options.updates.tell(Apply(updates)).await;
        for transition in &transitions {
            if let Value::Head(head) = &transition.value {
                let peers = self.peers(now).iter().map(ToString::to_string).collect();
                let announce = Announce {
                    head: head.clone(),
                    from_store: false,
                    peers,
                };
                let _ = self.options.heads.tell(announce).try_send();
            }
        }
        let urgent = transitions
            .into_iter()
            .filter(|transition| transition.value.is_urgent());
        let urgent = urgent
            .map(|transition| (transition.key, transition.value))
            .collect::<Vec<_>>();
        self.push(now, &urgent);
    }

    fn push(&self, now: Millis, rows: &[(Key, Value)]) {
        if rows.is_empty() {
            return;
        }
        let mut peers = self.peers(now);
        peers.shuffle(&mut rand::rng());
        for address in peers.into_iter().take(PUSH_FANOUT) {
            let rows = rows.to_vec();
            let existing = self.clients.get(&address).cloned();
            self.options.metrics.gossip_bytes.inc_by(size(&rows));
            tokio::spawn(push(self.options.local_address, address, existing, rows));
        }
    }
}

fn update(transition: &Transition) -> Option<Update> {
    match (&transition.key, &transition.value) {
        (Key::Leaving(name, incarnation), Value::Leaving(gone)) => {
            Some(Update::Leaving(name.clone(), *incarnation, *gone))
        }
        (Key::Move(name, _), Value::Move(row)) => Some(Update::Move(name.clone(), row.clone())),
        (Key::Veto(name, deadline), Value::Veto(reason)) => {
            Some(Update::Veto(name.clone(), *deadline, reason.clone()))
        }
        (Key::Daemon(_), Value::Daemon(daemon)) => {
            let before = match &transition.before {
                Some(Value::Daemon(before)) => Some(before),
                _ => None,
            };
            Some(Update::Daemon(Box::new(gossip::difference(before, daemon))))
        }
        _ => None,
    }
}

/// Returns the size of rows encoded as JSON in bytes, an upper bound for the peers' codec.
fn size(rows: &[(Key, Value)]) -> u64 {
    let bytes = serde_json::to_vec(rows).map_or(0, |bytes| bytes.len());
    u64::try_from(bytes).unwrap_or(u64::MAX)
}
