//! Service that exchanges heartbeats and other datagrams with the other daemons.

mod members;
mod messages;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Since;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::roster::Word;
use cactusglade_policy::roster::Zone;
use cactusglade_policy::usage::Ledger;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Entries;
use cactusglade_wire::gossip::Heartbeat;
use cactusglade_wire::gossip::MAX_DATAGRAM_BYTES;
use cactusglade_wire::gossip::Summary;
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

pub use members::find;
pub use messages::Fleet;
pub use messages::Hearsay;
pub use messages::Hold;
pub use messages::Look;
pub use messages::Reach;
pub use messages::Told;

use messages::Members;

/// Name of the service.
pub const NAME: &str = "mesh";
/// Interval between two heartbeats in a small zone.
///
/// It bounds how far an organisation can exceed its quota: by the requests that it sends while a
/// heartbeat passes through three daemons.
const EVERY: Duration = Duration::from_millis(100);
/// Number of daemons in a zone above which the heartbeat interval grows in proportion, so that the
/// number of datagrams that a daemon sends per second stays the same.
const MANY: u32 = 16;
/// Maximum number of other daemons listed in one heartbeat.
const NAMED: usize = 8;
/// One heartbeat out of this many also goes to daemons from which none was received lately.
const RARELY: u64 = 10;

/// Age from which the relay's state of the registry is no longer relied on.
///
/// The relay reads the store at least every 1.3 s, and an upstream that leaves may get requests for
/// 2 s at most.
const STALE: Millis = Millis(1_400);

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
    /// Broker, which counts the quota units spent at this daemon.
    pub broker: ActorRef<Broker>,
    /// Publishes the state of the registry as the zone's relay reports it.
    pub hearsay: watch::Sender<Hearsay>,
    /// Receives the changes of the registry that the zone's relay forwards.
    pub entries: mpsc::Sender<Entries>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
}

/// `Mesh` owns the state of the other daemons.
#[derive(Debug)]
pub struct Mesh {
    address: SocketAddr,
    zone: String,
    broker: ActorRef<Broker>,
    clock: Clock,
    log: Logger,
    socket: Arc<UdpSocket>,
    incarnation: u64,
    number: u64,
    roster: Roster,
    /// Work reported by the other zones since this daemon started, in milliseconds of one
    /// upstream's time.
    far_work: Totals,
    own: Since,
    lease: Option<Lease>,
    counts: BTreeMap<u64, Totals>,
    /// Request counts of this daemon and of those whose heartbeats it received.
    ledger: Ledger,
    /// State of the registry as this daemon has read it from the store.
    registry: Watermark,
    /// Time at which this daemon last read the registry from the store.
    told: Option<Millis>,
    /// State of the registry as the zone's relay reports it.
    hearsay: watch::Sender<Hearsay>,
    entries: mpsc::Sender<Entries>,
    heard: u64,
    daemons: u64,
}

struct Tick;

struct Came(Datagram);

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
    let mut pause = EVERY;
    loop {
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.9..1.1))).await;
        let Some(actor) = actor.upgrade() else { return };
        match actor.ask(Tick).await {
            Ok(near) => pause = EVERY * near.max(MANY) / MANY,
            Err(_) => return,
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, actor: WeakActorRef<Mesh>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES];
    loop {
        // The error of a datagram that could not be delivered is returned by the next call.
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            tokio::time::sleep(EVERY).await;
            continue;
        };
        let Some(actor) = actor.upgrade() else { return };
        if let Some(datagram) = Datagram::decode(&bytes[..length])
            && actor.tell(Came(datagram)).await.is_err()
        {
            return;
        }
    }
}

impl Message<Tick> for Mesh {
    type Reply = u32;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, u32>) -> u32 {
        let now = self.clock.now();
        // The broker stops after this service, so the call succeeds.
        let totals = self.broker.ask(broker::Spent).await.unwrap_or_default();
        self.own = Since {
            spent: totals.spent,
            work: totals.work,
        };
        self.ledger
            .hear(&name(self.address, self.incarnation), &totals.windows);
        self.counts = totals.windows;
        self.number += 1;
        self.roster.expire(now);
        self.listen(now);
        self.beat(now).await;
        if self.roster.is_relay(now) {
            self.relay(now).await;
        }
        self.share(now).await;
        let near = u32::try_from(self.roster.near(now)).unwrap_or(u32::MAX);
        let pause = EVERY * near.max(MANY) / MANY;
        self.roster
            .pace(Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)));
        near
    }
}

impl Message<Came> for Mesh {
    type Reply = ();

    async fn handle(&mut self, came: Came, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let since = match came.0 {
            Datagram::Heartbeat(beat) => self.hear(now, beat),
            Datagram::Summary(digest) => {
                let since = self.hear_zone(now, digest);
                for (service, span) in &since.work {
                    *self.far_work.entry(*service).or_default() += span;
                }
                since
            }
            Datagram::Entries(entries) => {
                // The receiver reads entries that find no room from the store instead.
                let _ = self.entries.try_send(entries);
                return;
            }
        };
        if !since.spent.is_empty() {
            let _ = self.broker.tell(broker::Charge(since.spent)).await;
        }
    }
}

impl Message<Members> for Mesh {
    type Reply = ();

    async fn handle(&mut self, members: Members, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for (address, zone) in &members.0 {
            self.roster.know(now, *address, Some(zone));
        }
    }
}

impl Message<Hold> for Mesh {
    type Reply = ();

    async fn handle(&mut self, hold: Hold, _: &mut Context<Self, ()>) {
        self.lease = hold.0;
    }
}

impl Message<Reach> for Mesh {
    type Reply = ();

    async fn handle(&mut self, reach: Reach, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if reach.is_cut != self.roster.is_cut(now) {
            info!(self.log, "ledger_reach"; "is_cut" => reach.is_cut,
                "neighbours" => self.roster.near(now));
        }
        self.roster.reach(now, reach.is_cut);
    }
}

impl Message<Told> for Mesh {
    type Reply = ();

    async fn handle(&mut self, told: Told, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.registry.revision = self.registry.revision.max(told.revision);
        self.told = Some(now);
        if !self.roster.is_relay(now) {
            return;
        }
        let near = self.roster.neighbourhood(now).collect::<Vec<_>>();
        for part in Entries::split(told.after, told.revision, &told.changes) {
            self.send(&Datagram::Entries(part), near.iter().copied())
                .await;
        }
    }
}

impl Message<Look> for Mesh {
    type Reply = Fleet;

    async fn handle(&mut self, _: Look, _: &mut Context<Self, Fleet>) -> Fleet {
        let now = self.clock.now();
        let mut work = self.far_work.clone();
        for (service, span) in self.roster.work().iter().chain(&self.own.work) {
            *work.entry(*service).or_default() += span;
        }
        Fleet {
            work,
            lease: self.roster.lease(now).cloned(),
            ledger: self.roster.is_keeper(now).then(|| self.ledger.clone()),
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
        let pause = Millis(u64::try_from(EVERY.as_millis()).unwrap_or(u64::MAX));
        let incarnation = clock::unix_time().0;
        let mut roster = Roster::new(&options.zone, options.address, incarnation, pause);
        let now = options.clock.now();
        for seed in &options.seeds {
            roster.know(now, *seed, None);
        }
        let mesh = Self {
            address: options.address,
            zone: options.zone,
            broker: options.broker,
            clock: options.clock,
            log: options.log,
            socket: Arc::new(UdpSocket::from_std(options.socket)?),
            incarnation,
            number: 0,
            roster,
            far_work: Totals::new(),
            own: Since::default(),
            lease: None,
            counts: BTreeMap::new(),
            ledger: Ledger::default(),
            registry: Watermark::default(),
            told: None,
            hearsay: options.hearsay,
            entries: options.entries,
            heard: 0,
            daemons: 0,
        };
        Ok(mesh)
    }

    fn hear(&mut self, now: Millis, beat: Heartbeat) -> Since {
        if beat.from == self.address {
            return Since::default();
        }
        for (address, zone) in &beat.members {
            self.roster.know(now, *address, Some(zone));
        }
        self.roster.know(now, beat.from, Some(&beat.zone));
        if beat.zone == self.zone {
            let name = name(beat.from, beat.incarnation);
            self.ledger.hear(&name, &beat.counts);
            if self.roster.speaker(now) == Some(beat.from) {
                self.show(beat.registry);
            }
        }
        let word = Word {
            incarnation: beat.incarnation,
            number: beat.sequence,
            spent: beat.quota_used,
            work: beat.work,
            lease: beat.lease,
            is_cut: beat.is_store_unreachable,
        };
        self.roster.hear(now, beat.from, word)
    }

    /// Publishes the relay's state of the registry; one that is too old counts as none.
    fn show(&self, registry: Watermark) {
        let is_fresh = registry.age_ms.is_some_and(|age| Millis(age) < STALE);
        let hearsay = Hearsay {
            revision: is_fresh.then_some(registry.revision),
        };
        self.hearsay.send_if_modified(|shown| {
            let is_new = *shown != hearsay;
            *shown = hearsay;
            is_new
        });
    }

    /// Updates the age of the own state of the registry, and withdraws the published state while
    /// this daemon is the zone's relay itself.
    fn listen(&mut self, now: Millis) {
        self.registry.age_ms = self.told.map(|told| (now - told).0);
        if self.roster.is_relay(now) {
            self.show(Watermark::default());
        }
    }

    fn hear_zone(&mut self, now: Millis, digest: Summary) -> Since {
        let word = Word {
            incarnation: digest.incarnation,
            number: digest.sequence,
            spent: digest.quota_used,
            work: digest.work,
            lease: digest.lease,
            is_cut: false,
        };
        let zone = Zone::new(digest.relay, digest.daemons, digest.reachable, word);
        self.roster.hear_zone(now, &digest.zone, zone)
    }

    /// Sends a heartbeat to the daemons of the own zone, and at times also to those that are
    /// silent.
    async fn beat(&self, now: Millis) {
        let places = self
            .roster
            .places()
            .choose_multiple(&mut rand::rng(), NAMED);
        let known = places
            .into_iter()
            .map(|(address, zone)| (*address, zone.clone()));
        let beat = Datagram::Heartbeat(Heartbeat {
            from: self.address,
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.number,
            quota_used: self.own.spent.clone(),
            work: self.own.work.clone(),
            lease: self.lease.clone(),
            counts: self.counts.clone(),
            registry: self.registry,
            is_store_unreachable: self.roster.is_cut(now),
            members: known.collect(),
        });
        if self.number % RARELY == 1 {
            self.send(&beat, self.roster.peers()).await;
        } else {
            self.send(&beat, self.roster.neighbourhood(now)).await;
        }
    }

    /// Sends the zone's digest to the other zones, and forwards their digests within the zone.
    async fn relay(&self, now: Millis) {
        let lease = self.lease.clone();
        let (daemons, heard, word) = self.roster.summary(now, &self.own, lease);
        let digest = Datagram::Summary(Summary {
            zone: self.zone.clone(),
            relay: self.address,
            incarnation: self.incarnation,
            sequence: self.number,
            daemons,
            reachable: heard,
            quota_used: word.spent,
            work: word.work,
            lease: word.lease,
        });
        self.send(&digest, self.roster.relays(now)).await;
        let near = self.roster.neighbourhood(now).collect::<Vec<_>>();
        for (name, zone) in self.roster.zones(now).filter(|_| !near.is_empty()) {
            let digest = Datagram::Summary(Summary {
                zone: name.clone(),
                relay: zone.relay,
                incarnation: zone.word.incarnation,
                sequence: zone.word.number,
                daemons: zone.daemons,
                reachable: zone.heard,
                quota_used: zone.word.spent.clone(),
                work: zone.word.work.clone(),
                lease: zone.word.lease.clone(),
            });
            self.send(&digest, near.iter().copied()).await;
        }
    }

    async fn send(&self, datagram: &Datagram, to: impl IntoIterator<Item = SocketAddr>) {
        let Some(bytes) = datagram.encode() else {
            warn!(self.log, "datagram_too_long"; "organisations" => self.own.spent.len());
            return;
        };
        for address in to {
            // Datagrams carry totals, so the next one makes up for one that is lost.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    /// Notifies the broker when the number of daemons, or of those whose heartbeats arrive,
    /// changes.
    async fn share(&mut self, now: Millis) {
        let (daemons, heard) = (self.roster.count(), self.roster.heard(now));
        // Without a heartbeat from another daemon the size of the fleet is not known.
        if (daemons, heard) == (self.daemons, self.heard) || daemons == 1 {
            return;
        }
        info!(self.log, "fleet_changed"; "daemons" => daemons, "heard" => heard,
            "daemons_before" => self.daemons, "heard_before" => self.heard);
        (self.daemons, self.heard) = (daemons, heard);
        let _ = self.broker.tell(broker::Share { daemons, heard }).await;
    }
}

/// Key of one incarnation of a daemon in the ledger.
fn name(address: SocketAddr, incarnation: u64) -> String {
    format!("{address}/{incarnation}")
}
