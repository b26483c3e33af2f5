//! The service that exchanges datagrams with the other daemons.

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
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Totals;
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
/// Time between two words in a small zone; what an organisation can use beyond its quota is what
/// it sends while a word passes three daemons.
const EVERY: Duration = Duration::from_millis(100);
/// Daemons in a zone from which on words grow rarer, so that a daemon's datagrams a second stay
/// the same.
const MANY: u32 = 16;
/// Known daemons that one word names.
const NAMED: usize = 8;
/// Words between two that also go to daemons which were not heard lately.
const RARELY: u64 = 10;

/// Age from which a daemon's word on the registry is no longer relied on; the store is asked anew
/// within one and three tenths of a second, and a leaving upstream may get requests for two.
const STALE: Millis = Millis(1_400);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Availability zone of the daemon.
    pub zone: String,
    /// The socket that datagrams go through.
    pub socket: std::net::UdpSocket,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Addresses of some daemons.
    pub seeds: Vec<SocketAddr>,
    /// The broker, which knows what was spent here.
    pub broker: ActorRef<Broker>,
    /// Where it is shown how the daemon that speaks for the zone knows the registry.
    pub hearsay: watch::Sender<Hearsay>,
    /// Where changes of the registry go that it passes on.
    pub entries: mpsc::Sender<Entries>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
}

/// `Mesh` owns what is known of the other daemons.
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
    /// Work that the other zones have told of since this daemon started.
    far_work: Totals,
    own: Consumption,
    lease: Option<Lease>,
    counts: BTreeMap<u64, Totals>,
    /// What the daemons that were heard have counted, this one included.
    ledger: Ledger,
    /// How this daemon knows the registry itself.
    registry: Watermark,
    /// When the store last told this daemon of the registry.
    told: Option<Millis>,
    /// What the daemon that speaks for the zone says of the registry, and what it has passed on.
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

/// Sends ticks until the service has ended, rarer ones in a larger zone.
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
        // A datagram that could not be delivered shows as an error of the next call.
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
        // The broker ends after this service.
        let totals = self.broker.ask(broker::Spent).await.unwrap_or_default();
        self.own = Consumption {
            quota_used: totals.spent,
            work: totals.work,
        };
        self.ledger
            .record(&name(self.address, self.incarnation), &totals.windows);
        self.counts = totals.windows;
        self.number += 1;
        self.roster.expire(now);
        self.listen(now);
        self.beat(now).await;
        if self.roster.is_relay(now) {
            self.relay(now).await;
        }
        self.share(now).await;
        let near = u32::try_from(self.roster.reachable_in_zone(now)).unwrap_or(u32::MAX);
        let pause = EVERY * near.max(MANY) / MANY;
        self.roster
            .set_interval(Millis(u64::try_from(pause.as_millis()).unwrap_or(u64::MAX)));
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
                // One that finds no room is made up for by a call.
                let _ = self.entries.try_send(entries);
                return;
            }
        };
        if !since.quota_used.is_empty() {
            let _ = self.broker.tell(broker::Charge(since.quota_used)).await;
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
        if reach.is_cut != self.roster.is_store_unreachable(now) {
            info!(self.log, "ledger_reach"; "is_cut" => reach.is_cut,
                "neighbours" => self.roster.reachable_in_zone(now));
        }
        self.roster.set_store_unreachable(now, reach.is_cut);
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
        let near = self.roster.neighbours(now).collect::<Vec<_>>();
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
            ledger: self
                .roster
                .is_ledger_writer(now)
                .then(|| self.ledger.clone()),
        }
    }
}

impl Mesh {
    /// Makes the service's state.
    ///
    /// # Errors
    ///
    /// Fails when the socket can't be used.
    pub fn try_new(options: Options) -> std::io::Result<Self> {
        let pause = Millis(u64::try_from(EVERY.as_millis()).unwrap_or(u64::MAX));
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
            socket: Arc::new(UdpSocket::from_std(options.socket)?),
            incarnation,
            number: 0,
            roster,
            far_work: Totals::new(),
            own: Consumption::default(),
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

    fn hear(&mut self, now: Millis, beat: Heartbeat) -> Consumption {
        if beat.from == self.address {
            return Consumption::default();
        }
        for (address, zone) in &beat.members {
            self.roster.add(now, *address, Some(zone));
        }
        self.roster.add(now, beat.from, Some(&beat.zone));
        if beat.zone == self.zone {
            let name = name(beat.from, beat.incarnation);
            self.ledger.record(&name, &beat.counts);
            if self.roster.relay(now) == Some(beat.from) {
                self.show(beat.registry);
            }
        }
        let word = Announcement {
            incarnation: beat.incarnation,
            sequence: beat.sequence,
            quota_used: beat.quota_used,
            work: beat.work,
            lease: beat.lease,
            is_store_unreachable: beat.is_store_unreachable,
        };
        self.roster.record(now, beat.from, word)
    }

    /// Shows how the daemon that speaks for the zone knows the registry, while it knows it well.
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

    /// Stops relying on others where no other daemon speaks for the zone.
    fn listen(&mut self, now: Millis) {
        self.registry.age_ms = self.told.map(|told| (now - told).0);
        if self.roster.is_relay(now) {
            self.show(Watermark::default());
        }
    }

    fn hear_zone(&mut self, now: Millis, digest: Summary) -> Consumption {
        let word = Announcement {
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            quota_used: digest.quota_used,
            work: digest.work,
            lease: digest.lease,
            is_store_unreachable: false,
        };
        let zone = Zone::new(digest.relay, digest.daemons, digest.reachable, word);
        self.roster.record_zone(now, &digest.zone, zone)
    }

    /// Tells the daemons of the own zone of this one; those that are silent only now and then.
    async fn beat(&self, now: Millis) {
        let places = self
            .roster
            .members()
            .choose_multiple(&mut rand::rng(), NAMED);
        let known = places
            .into_iter()
            .map(|(address, zone)| (*address, zone.clone()));
        let beat = Datagram::Heartbeat(Heartbeat {
            from: self.address,
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            sequence: self.number,
            quota_used: self.own.quota_used.clone(),
            work: self.own.work.clone(),
            lease: self.lease.clone(),
            counts: self.counts.clone(),
            registry: self.registry,
            is_store_unreachable: self.roster.is_store_unreachable(now),
            members: known.collect(),
        });
        if self.number % RARELY == 1 {
            self.send(&beat, self.roster.peers()).await;
        } else {
            self.send(&beat, self.roster.neighbours(now)).await;
        }
    }

    /// Speaks for the zone to the others, and tells the zone what they have said.
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
            quota_used: word.quota_used,
            work: word.work,
            lease: word.lease,
        });
        self.send(&digest, self.roster.relays(now)).await;
        let near = self.roster.neighbours(now).collect::<Vec<_>>();
        for (name, zone) in self.roster.zones(now).filter(|_| !near.is_empty()) {
            let digest = Datagram::Summary(Summary {
                zone: name.clone(),
                relay: zone.relay,
                incarnation: zone.announcement.incarnation,
                sequence: zone.announcement.sequence,
                daemons: zone.daemons,
                reachable: zone.reachable,
                quota_used: zone.announcement.quota_used.clone(),
                work: zone.announcement.work.clone(),
                lease: zone.announcement.lease.clone(),
            });
            self.send(&digest, near.iter().copied()).await;
        }
    }

    async fn send(&self, datagram: &Datagram, to: impl IntoIterator<Item = SocketAddr>) {
        let Some(bytes) = datagram.encode() else {
            warn!(self.log, "datagram_too_long"; "organisations" => self.own.quota_used.len());
            return;
        };
        for address in to {
            // What is lost is made up for by the next datagram.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    /// Tells the broker when the number of daemons, or of those that are heard, has changed.
    async fn share(&mut self, now: Millis) {
        let (daemons, heard) = (self.roster.count(), self.roster.reachable(now));
        // A daemon that has never heard another knows nothing of their number.
        if (daemons, heard) == (self.daemons, self.heard) || daemons == 1 {
            return;
        }
        info!(self.log, "fleet_changed"; "daemons" => daemons, "heard" => heard,
            "daemons_before" => self.daemons, "heard_before" => self.heard);
        (self.daemons, self.heard) = (daemons, heard);
        let _ = self.broker.tell(broker::Share { daemons, heard }).await;
    }
}

/// Name of a start of a daemon in the ledger.
fn name(address: SocketAddr, incarnation: u64) -> String {
    format!("{address}/{incarnation}")
}
