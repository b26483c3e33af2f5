//! Service that exchanges heartbeats and other datagrams with the other daemons.

mod fanout;
mod members;
mod messages;
mod registry;
mod sightings;
mod statements;
mod summaries;
mod versions;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::fleet::Limit;
use cactusglade_core::fleet::Pace;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_policy::lag::Notice;
use cactusglade_policy::relay;
use cactusglade_policy::relay::fanout::Guard;
use cactusglade_policy::relay::fanout::Planner;
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::throttle::Layout;
use cactusglade_policy::usage::Frontier;
use cactusglade_policy::usage::Ledger;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Entries;
use cactusglade_wire::gossip::Heartbeat;
use cactusglade_wire::gossip::MAX_DATAGRAM_BYTES;
use cactusglade_wire::gossip::Watermark;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use rand::seq::IteratorRandom;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::metrics::Datagrams;

pub use members::Discovery;
pub use messages::Changeset;
pub use messages::Fleet;
pub use messages::InForce;
pub use messages::Inspect;
pub use messages::Leadership;
pub use messages::Progress;
pub use messages::Reachability;

use messages::Members;
use messages::ReadsMembers;
use sightings::Exchange;
use statements::Backlog;

/// Name of the service.
pub const NAME: &str = "mesh";
/// Interval between two heartbeats in a small zone.
///
/// It bounds how far an organisation can exceed its quota: by the requests that it sends while a
/// heartbeat passes through three daemons.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Number of daemons in a zone above which the heartbeat interval grows in proportion, so that the
/// number of datagrams that a daemon sends per second stays the same.
const BASE_DAEMONS: u32 = 16;
/// Maximum number of other daemons listed in one heartbeat.
const MAX_LISTED_MEMBERS: usize = 8;
/// One heartbeat out of this many also goes to daemons from which none was received lately.
const HEARTBEATS_PER_BROADCAST: u64 = 10;

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Availability zone of the daemon.
    pub zone: String,
    /// Socket for datagrams.
    pub socket: std::net::UdpSocket,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Addresses of some other daemons, to which the first heartbeats go.
    pub seeds: Vec<SocketAddr>,
    /// Broker, which counts the quota units used at this daemon.
    pub broker: ActorRef<Broker>,
    /// Publishes the state of the registry as the zone's relay reports it.
    pub progress: watch::Sender<Progress>,
    /// Receives the changes of the registry that the zone's relay forwards.
    pub entries: mpsc::Sender<Entries>,
    /// Publishes the newest version of the configuration that other daemons state to be in force.
    pub notices: watch::Sender<Option<Notice>>,
    /// Empty ledger of request counts.
    pub ledger: Ledger,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
    /// Counters of the datagrams sent.
    pub metrics: Datagrams,
}

/// `Mesh` owns the state of the other daemons.
#[derive(Debug)]
pub struct Mesh {
    address: SocketAddr,
    zone: String,
    broker: ActorRef<Broker>,
    clock: Clock,
    log: Logger,
    metrics: Datagrams,
    socket: Arc<UdpSocket>,
    incarnation: u64,
    sequence: u64,
    roster: Roster,
    /// Work reported by the other zones since this daemon started, in milliseconds of one
    /// upstream's time.
    remote_work: Totals,
    own_totals: Consumption,
    lease: Option<Lease>,
    counts: BTreeMap<u64, Totals>,
    /// Request counts of this daemon and of those whose heartbeats it received.
    ledger: Ledger,
    /// Newest windows in which other zones have counted requests.
    frontier: Frontier,
    /// How far this daemon has read the registry from the store.
    registry: relay::Progress,
    /// State of the registry as the zone's relay reports it.
    progress: watch::Sender<Progress>,
    entries: mpsc::Sender<Entries>,
    /// Version of the configuration that is in force at this daemon.
    in_force: u64,
    /// Newest version that other daemons state to be in force.
    newest: Option<Notice>,
    notices: watch::Sender<Option<Notice>>,
    /// What the relay has still to pass on of the sightings of upstreams.
    exchange: Exchange,
    /// What the relay has still to pass on about parts of prompts.
    suspicions: Backlog<Suspicion>,
    /// What the relay has still to pass on about limits of upstreams.
    limits: Backlog<Limit>,
    /// What the relay has still to pass on about paces of upstreams.
    paces: Backlog<Pace>,
    /// What the relay has still to pass on about long prompts.
    prefills: Backlog<Prefill>,
    /// Ways of what the relay forwards.
    planner: Planner,
    /// Number of neighbours that pass on what this daemon forwards.
    forwarders: usize,
    /// Whether this daemon passes datagrams on.
    guard: Guard,
    /// Daemons among which limits are divided, as last reported to the broker.
    layout: Option<Layout>,
    reachable: u64,
    daemons: u64,
}

struct Tick;

struct Received(Datagram);

impl Actor for Mesh {
    type Args = Self;
    type Error = Infallible;

    async fn on_start(mesh: Self, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(actor.downgrade()));
        tokio::spawn(receive(mesh.socket.clone(), actor.downgrade()));
        Ok(mesh)
    }
}

/// Sends ticks until the service stops, at longer intervals in a large zone.
async fn tick(actor: WeakActorRef<Mesh>) {
    let mut pause = HEARTBEAT_INTERVAL;
    loop {
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.9..1.1))).await;
        let Some(actor) = actor.upgrade() else { return };
        match actor.ask(Tick).await {
            Ok(daemons) => pause = HEARTBEAT_INTERVAL * daemons.max(BASE_DAEMONS) / BASE_DAEMONS,
            Err(_) => return,
        }
    }
}

/// Receives datagrams until the service stops.
async fn receive(socket: Arc<UdpSocket>, actor: WeakActorRef<Mesh>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        // The error of a datagram that could not be delivered is returned by the next call.
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        let Some(actor) = actor.upgrade() else { return };
        if let Some(datagram) = Datagram::decode(&bytes[..length])
            && actor.tell(Received(datagram)).await.is_err()
        {
            return;
        }
    }
}

impl Message<Tick> for Mesh {
    type Reply = u32;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, u32>) -> u32 {
        let now = self.clock.now();
        self.guard.tick(now, self.roster.interval());
        // The broker stops after this service, so the call succeeds.
        let meter = broker::Meter {
            restates_holds: self.sequence.is_multiple_of(HEARTBEATS_PER_BROADCAST),
        };
        let statistics = self.broker.ask(meter).await.unwrap_or_default();
        self.own_totals = Consumption {
            quota_used: statistics.quota_used,
            work: statistics.work,
        };
        self.ledger.record(
            &ledger_key(self.address, self.incarnation),
            &statistics.counts,
        );
        self.counts = statistics.counts;
        self.sequence += 1;
        self.roster.expire(now);
        self.send_sightings(now, &statistics.sightings).await;
        self.send_statements(now, &statistics.suspicions).await;
        self.send_statements(now, &statistics.limits).await;
        self.send_statements(now, &statistics.paces).await;
        self.send_statements(now, &statistics.prefills).await;
        self.send_evacuations(now, &statistics.evacuations).await;
        if self.roster.is_relay(now) {
            // The state that other daemons relay doesn't count while this one is the relay.
            self.publish_progress(now, Watermark::default());
        }
        self.send_heartbeat(now).await;
        self.send_ready(now).await;
        if self.sequence % HEARTBEATS_PER_BROADCAST == 1 {
            self.send_version(now).await;
        }
        if self.roster.is_relay(now) {
            self.send_summaries(now).await;
            if self.sequence % HEARTBEATS_PER_BROADCAST == 1 {
                self.send_counted(now).await;
            }
        }
        self.report_fleet(now).await;
        let zone_daemons = u32::try_from(self.roster.reachable_in_zone(now)).unwrap_or(u32::MAX);
        let pause = HEARTBEAT_INTERVAL * zone_daemons.max(BASE_DAEMONS) / BASE_DAEMONS;
        self.roster
            .set_interval(Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)));
        zone_daemons
    }
}

impl Message<Received> for Mesh {
    type Reply = ();

    async fn handle(&mut self, received: Received, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let datagram = match received.0 {
            Datagram::Fanout(fanout) => self.receive_fanout(now, fanout).await,
            datagram => Some(datagram),
        };
        let Some(datagram) = datagram else { return };
        let added = match datagram {
            Datagram::Heartbeat(heartbeat) => self.receive_heartbeat(now, heartbeat),
            Datagram::Summary(summary) => {
                let added = self.receive_summary(now, summary);
                for (service, work) in &added.work {
                    *self.remote_work.entry(*service).or_default() += work;
                }
                added
            }
            Datagram::Counted(counted) => {
                self.receive_counted(&counted);
                return;
            }
            Datagram::Entries(entries) => {
                // Entries that do not fit into the queue are dropped; they are read from the store
                // instead.
                let _ = self.entries.try_send(entries);
                return;
            }
            Datagram::Undated | Datagram::Fanout(_) => return,
            Datagram::Sightings(sightings) => {
                self.receive_sightings(now, sightings).await;
                return;
            }
            Datagram::Suspicions(suspicions) => {
                self.receive_suspicions(now, suspicions).await;
                return;
            }
            Datagram::Limits(limits) => {
                self.receive_limits(now, limits).await;
                return;
            }
            Datagram::Prefills(prefills) => {
                self.receive_prefills(now, prefills).await;
                return;
            }
            Datagram::Paces(paces) => {
                self.receive_paces(now, paces).await;
                return;
            }
            Datagram::Evacuations(evacuations) => {
                self.receive_evacuations(evacuations).await;
                return;
            }
            Datagram::Version(version) => {
                self.receive_version(now, version).await;
                return;
            }
        };
        if !added.quota_used.is_empty() {
            let _ = self.broker.tell(broker::Charge(added.quota_used)).await;
        }
    }
}

impl Message<Members> for Mesh {
    type Reply = ();

    async fn handle(&mut self, members: Members, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for (address, zone) in &members.0 {
            self.roster.add(now, *address, Some(zone));
        }
        // Until it has heard from the others, this daemon knows neither the relay nor the lease.
        self.sequence += 1;
        let heartbeat = self.heartbeat(now);
        self.send(&heartbeat, self.roster.peers()).await;
        self.report_fleet(now).await;
    }
}

impl Message<ReadsMembers> for Mesh {
    type Reply = bool;

    async fn handle(&mut self, _: ReadsMembers, _: &mut Context<Self, bool>) -> bool {
        self.roster.is_relay(self.clock.now())
    }
}

impl Message<Leadership> for Mesh {
    type Reply = ();

    async fn handle(&mut self, leadership: Leadership, _: &mut Context<Self, ()>) {
        self.lease = leadership.0;
    }
}

impl Message<Reachability> for Mesh {
    type Reply = ();

    async fn handle(&mut self, reachability: Reachability, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if reachability.is_store_unreachable != self.roster.is_store_unreachable(now) {
            info!(self.log, "ledger_reach"; "is_cut" => reachability.is_store_unreachable,
                "neighbours" => self.roster.reachable_in_zone(now));
        }
        self.roster
            .set_store_unreachable(now, reachability.is_store_unreachable);
    }
}

impl Message<Inspect> for Mesh {
    type Reply = Fleet;

    async fn handle(&mut self, _: Inspect, _: &mut Context<Self, Fleet>) -> Fleet {
        let now = self.clock.now();
        let mut work = self.remote_work.clone();
        for (service, span) in self.roster.work().iter().chain(&self.own_totals.work) {
            *work.entry(*service).or_default() += span;
        }
        Fleet {
            work,
            lease: self.roster.lease(now).cloned(),
            ledger: self
                .roster
                .is_ledger_writer(now)
                .then(|| self.ledger.clone()),
            counted: self.counted(),
            daemons: self.fleet_size(),
            reachable: self.roster.reachable(now),
        }
    }
}

impl Mesh {
    /// Creates the state of the service.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be registered with the runtime.
    pub fn try_new(options: Options) -> std::io::Result<Self> {
        let pause = Millis(u64::try_from(HEARTBEAT_INTERVAL.as_millis()).unwrap_or(u64::MAX));
        let incarnation = clock::unix_time().0;
        let mut roster = Roster::new(&options.zone, options.address, incarnation, pause);
        let now = options.clock.now();
        for seed in &options.seeds {
            roster.add(now, *seed, None);
        }
        let mesh = Self {
            address: options.address,
            zone: options.zone,
            broker: options.broker,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
            socket: Arc::new(UdpSocket::from_std(options.socket)?),
            incarnation,
            sequence: 0,
            roster,
            remote_work: Totals::new(),
            own_totals: Consumption::default(),
            lease: None,
            counts: BTreeMap::new(),
            ledger: options.ledger,
            frontier: Frontier::default(),
            registry: relay::Progress::default(),
            progress: options.progress,
            entries: options.entries,
            in_force: 0,
            newest: None,
            notices: options.notices,
            exchange: Exchange::default(),
            suspicions: Backlog::default(),
            limits: Backlog::default(),
            paces: Backlog::default(),
            prefills: Backlog::default(),
            planner: Planner::default(),
            forwarders: 0,
            guard: Guard::default(),
            layout: None,
            reachable: 0,
            daemons: 0,
        };
        Ok(mesh)
    }

    /// Records a heartbeat; returns what was added to the totals of its sender.
    fn receive_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> Consumption {
        if heartbeat.from == self.address {
            return Consumption::default();
        }
        for (address, zone) in &heartbeat.members {
            self.roster.add(now, *address, Some(zone));
        }
        self.roster.add(now, heartbeat.from, Some(&heartbeat.zone));
        if heartbeat.zone == self.zone {
            let key = ledger_key(heartbeat.from, heartbeat.incarnation);
            self.ledger.record(&key, &heartbeat.counts);
            if self.roster.relay(now) == Some(heartbeat.from) {
                self.publish_progress(now, heartbeat.registry);
            }
        }
        let announcement = Announcement {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            quota_used: heartbeat.quota_used,
            work: heartbeat.work,
            lease: heartbeat.lease,
            is_store_unreachable: heartbeat.is_store_unreachable,
        };
        self.roster.record(now, heartbeat.from, announcement)
    }

    /// Sends a heartbeat to the daemons of this zone, and one in [`HEARTBEATS_PER_BROADCAST`]
    /// also to daemons from which none was received lately.
    async fn send_heartbeat(&self, now: Millis) {
        let heartbeat = self.heartbeat(now);
        if self.sequence % HEARTBEATS_PER_BROADCAST == 1 {
            self.send(&heartbeat, self.roster.peers()).await;
        } else {
            self.send(&heartbeat, self.roster.neighbours(now)).await;
        }
    }

    /// Returns a heartbeat with the state of this daemon.
    fn heartbeat(&self, now: Millis) -> Datagram {
        let sample = self
            .roster
            .members()
            .choose_multiple(&mut rand::rng(), MAX_LISTED_MEMBERS);
        let members = sample
            .into_iter()
            .map(|(address, zone)| (*address, zone.clone()));
        Datagram::Heartbeat(Heartbeat {
            from: self.address,
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            quota_used: self.own_totals.quota_used.clone(),
            work: self.own_totals.work.clone(),
            lease: self.lease.clone(),
            counts: self.counts.clone(),
            registry: Watermark {
                revision: self.registry.revision(),
                age_ms: self.registry.age(now).map(|age| age.0),
            },
            is_store_unreachable: self.roster.is_store_unreachable(now),
            members: members.collect(),
        })
    }

    /// Sends a datagram to each of these addresses.
    async fn send(&self, datagram: &Datagram, to: impl IntoIterator<Item = SocketAddr>) {
        if let Some(bytes) = self.encode(datagram) {
            self.send_bytes(&bytes, to).await;
        }
    }

    fn encode(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let bytes = datagram.encode();
        if bytes.is_none() {
            warn!(self.log, "datagram_too_long";
                "organisations" => self.own_totals.quota_used.len());
        }
        bytes
    }

    async fn send_bytes(&self, bytes: &[u8], to: impl IntoIterator<Item = SocketAddr>) {
        for address in to {
            // Datagrams carry totals, so the next one makes up for one that is lost.
            let _ = self.socket.send_to(bytes, address).await;
            self.metrics.sent.inc();
            self.metrics.sent_bytes.inc_by(bytes.len() as u64);
        }
    }
}

/// Key of one incarnation of a daemon in the ledger.
fn ledger_key(address: SocketAddr, incarnation: u64) -> String {
    format!("{address}/{incarnation}")
}
