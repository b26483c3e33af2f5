//! The service that exchanges datagrams with the other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_policy::roster::Roster;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::roster::Word;
use cactusglade_wire::beat::Beat;
use cactusglade_wire::beat::MAX_BYTES;
use kameo::Actor;
use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use rand::seq::IteratorRandom;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::UdpSocket;

use crate::edge::broker;
use crate::edge::broker::Broker;

/// Name of the service.
pub const NAME: &str = "mesh";
/// Time between two datagrams to one daemon, in a fleet of some ten; what an organisation can use
/// beyond its quota is what it sends in this time.
const EVERY: Duration = Duration::from_millis(200);
/// Daemons from which on datagrams grow rarer, so that their number a second stays the same.
const MANY: u32 = 12;
/// Addresses that one datagram names.
const NAMED: usize = 12;

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// The socket that datagrams go through.
    pub socket: std::net::UdpSocket,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Addresses of some daemons.
    pub seeds: Vec<SocketAddr>,
    /// The broker, which knows what was spent here.
    pub broker: ActorRef<Broker>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
}

/// `Mesh` owns what is known of the other daemons.
#[derive(Debug)]
pub struct Mesh {
    options: Options,
    socket: Arc<UdpSocket>,
    incarnation: u64,
    number: u64,
    roster: Roster,
    /// Work of all daemons since this one started, its own included.
    work: Totals,
    own_work: Totals,
    lease: Option<Lease>,
    heard: u64,
    daemons: u64,
}

/// `Hold` passes on the lease on the duties while this daemon holds it.
#[derive(Clone, Debug)]
pub struct Hold(pub Option<Lease>);

/// `Look` asks how the fleet stands.
#[derive(Clone, Copy, Debug)]
pub struct Look;

/// `Fleet` is what the mesh knows of all daemons.
#[derive(Clone, Debug, Default, Reply)]
pub struct Fleet {
    /// Work that all daemons sent to each service, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties as another daemon holds it that is heard.
    pub lease: Option<Lease>,
    /// How many daemons there are.
    pub daemons: u64,
    /// How many of them are heard.
    pub heard: u64,
}

struct Tick;

struct Came(Beat);

impl Actor for Mesh {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let socket = Arc::new(UdpSocket::from_std(options.socket.try_clone()?)?);
        tokio::spawn(tick(actor.downgrade()));
        tokio::spawn(receive(socket.clone(), actor.downgrade()));
        let mut roster = Roster::default();
        let now = options.clock.now();
        for seed in options
            .seeds
            .iter()
            .filter(|seed| **seed != options.address)
        {
            roster.know(now, *seed);
        }
        Ok(Self {
            options,
            socket,
            incarnation: clock::unix().0,
            number: 0,
            roster,
            work: Totals::new(),
            own_work: Totals::new(),
            lease: None,
            heard: 0,
            daemons: 0,
        })
    }
}

/// Sends ticks until the service has ended, rarer ones in a larger fleet.
async fn tick(actor: WeakActorRef<Mesh>) {
    let mut pause = EVERY;
    loop {
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.9..1.1))).await;
        let Some(actor) = actor.upgrade() else { return };
        match actor.ask(Tick).await {
            Ok(daemons) => pause = EVERY * daemons.max(MANY) / MANY,
            Err(_) => return,
        }
    }
}

async fn receive(socket: Arc<UdpSocket>, actor: WeakActorRef<Mesh>) {
    let mut bytes = [0; MAX_BYTES];
    loop {
        // A datagram that could not be delivered shows as an error of the next call.
        let Ok((length, _)) = socket.recv_from(&mut bytes).await else {
            tokio::time::sleep(EVERY).await;
            continue;
        };
        let Some(actor) = actor.upgrade() else { return };
        if let Some(beat) = Beat::decode(&bytes[..length])
            && actor.tell(Came(beat)).await.is_err()
        {
            return;
        }
    }
}

impl Message<Tick> for Mesh {
    type Reply = u32;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, u32>) -> u32 {
        let now = self.options.clock.now();
        // The broker ends after this service.
        let standing = self
            .options
            .broker
            .ask(broker::Stand)
            .await
            .unwrap_or_default();
        self.own_work = standing.work.clone();
        self.number += 1;
        self.roster.expire(now);
        let beat = Beat {
            from: self.options.address,
            incarnation: self.incarnation,
            number: self.number,
            known: self
                .roster
                .proven()
                .choose_multiple(&mut rand::rng(), NAMED),
            spent: standing.spent,
            work: standing.work,
            lease: self.lease.clone(),
        };
        self.send(&beat).await;
        self.share(now).await;
        u32::try_from(self.daemons).unwrap_or(u32::MAX)
    }
}

impl Message<Came> for Mesh {
    type Reply = ();

    async fn handle(&mut self, came: Came, _: &mut Context<Self, ()>) {
        let now = self.options.clock.now();
        let beat = came.0;
        if beat.from == self.options.address {
            return;
        }
        for address in beat
            .known
            .iter()
            .filter(|one| **one != self.options.address)
        {
            self.roster.know(now, *address);
        }
        let word = Word {
            incarnation: beat.incarnation,
            number: beat.number,
            spent: beat.spent,
            work: beat.work,
            lease: beat.lease,
        };
        let (spent, work) = self.roster.hear(now, beat.from, word);
        for (service, span) in work {
            *self.work.entry(service).or_default() += span;
        }
        if !spent.is_empty() {
            let _ = self.options.broker.tell(broker::Charge(spent)).await;
        }
    }
}

impl Message<Hold> for Mesh {
    type Reply = ();

    async fn handle(&mut self, hold: Hold, _: &mut Context<Self, ()>) {
        self.lease = hold.0;
    }
}

impl Message<Look> for Mesh {
    type Reply = Fleet;

    async fn handle(&mut self, _: Look, _: &mut Context<Self, Fleet>) -> Fleet {
        let mut work = self.work.clone();
        for (service, span) in &self.own_work {
            *work.entry(service.clone()).or_default() += span;
        }
        Fleet {
            work,
            lease: self.roster.lease(self.options.clock.now()).cloned(),
            daemons: self.daemons,
            heard: self.heard,
        }
    }
}

impl Mesh {
    async fn send(&self, beat: &Beat) {
        let Some(bytes) = beat.encode() else {
            warn!(self.options.log, "beat_too_long"; "organisations" => beat.spent.len());
            return;
        };
        for address in self.roster.addresses() {
            // What is lost is made up for by the next datagram.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }

    /// Tells the broker when the number of daemons, or of those that are heard, has changed.
    async fn share(&mut self, now: Millis) {
        let (daemons, heard) = (self.roster.count(), self.roster.heard(now));
        // A daemon that has never heard another knows nothing of their number.
        if (daemons, heard) == (self.daemons, self.heard) || daemons == 1 {
            return;
        }
        info!(self.options.log, "fleet_changed"; "daemons" => daemons, "heard" => heard,
            "daemons_before" => self.daemons, "heard_before" => self.heard);
        (self.daemons, self.heard) = (daemons, heard);
        let _ = self
            .options
            .broker
            .tell(broker::Share { daemons, heard })
            .await;
    }
}
