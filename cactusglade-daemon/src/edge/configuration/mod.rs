//! Service that owns the operators' configuration, and notices when other daemons have a newer one.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_policy::lag::Lag;
use cactusglade_policy::lag::Notice;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::mesh;
use crate::edge::mesh::Mesh;
use crate::metrics::Metrics;

/// Name of the service.
pub const NAME: &str = "configuration";

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Broker, which applies the configuration.
    pub broker: ActorRef<Broker>,
    /// Mesh, which states the version in force to other daemons.
    pub mesh: ActorRef<Mesh>,
    /// Newest version that other daemons state to be in force.
    pub notices: watch::Receiver<Option<Notice>>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}

/// `Configuration` owns the newest valid catalog.
#[derive(Debug)]
pub struct Configuration {
    broker: ActorRef<Broker>,
    mesh: ActorRef<Mesh>,
    catalog: Arc<Catalog>,
    lag: Lag,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
}

/// `Origin` is where a configuration was read.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// The store, at this revision, by a call that it held for this time.
    Store {
        /// Revision that the store stated.
        revision: u64,
        /// Time from the call to its answer.
        held: Millis,
    },
    /// Another daemon, which serves others at this address.
    Peer(SocketAddr),
}

/// `Configure` applies a configuration if it is newer and valid.
#[derive(Debug)]
pub struct Configure {
    /// Configuration as read.
    pub draft: Draft,
    /// Where it was read.
    pub origin: Origin,
}

/// `Assess` records what other daemons state.
#[derive(Clone, Copy, Debug)]
struct Assess(Option<Notice>);

impl Actor for Configuration {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(follow(actor.downgrade(), options.notices));
        Ok(Self {
            broker: options.broker,
            mesh: options.mesh,
            catalog: Arc::default(),
            lag: Lag::default(),
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
        })
    }
}

/// Notices when other daemons have a newer configuration, until the service or the mesh stops.
async fn follow(actor: WeakActorRef<Configuration>, mut notices: watch::Receiver<Option<Notice>>) {
    while notices.changed().await.is_ok() {
        let notice = *notices.borrow_and_update();
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Assess(notice)).await.is_err() {
            return;
        }
    }
}

impl Message<Configure> for Configuration {
    type Reply = ();

    async fn handle(&mut self, configure: Configure, _: &mut Context<Self, ()>) {
        let version = configure.draft.version;
        if version <= self.catalog.version {
            return;
        }
        self.log_origin(version, configure.origin);
        match Catalog::try_new(configure.draft, &self.catalog) {
            Ok(catalog) => {
                self.catalog = Arc::new(catalog);
                self.lag.adopt(self.clock.now(), version);
                // Both fail only while the daemon stops.
                let _ = self.broker.tell(broker::Adopt(self.catalog.clone())).await;
                let _ = self.mesh.tell(mesh::InForce(version)).await;
            }
            Err(reason) => {
                warn!(self.log, "configuration_refused"; "version" => version,
                    "in_force" => self.catalog.version, "reason" => %reason);
            }
        }
    }
}

impl Message<Assess> for Configuration {
    type Reply = ();

    async fn handle(&mut self, assess: Assess, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if let Some(notice) = assess.0
            && self.lag.record(now, notice)
        {
            info!(self.log, "configuration_behind"; "in_force" => self.catalog.version,
                "stated" => notice.version, "holder" => %notice.holder,
                "age_ms" => (now - notice.stated).0);
            self.metrics.behind.inc();
        }
    }
}

impl Configuration {
    /// Logs where a newer configuration was read.
    fn log_origin(&self, version: u64, origin: Origin) {
        match origin {
            Origin::Store { revision, held } => {
                info!(self.log, "configuration_read"; "version" => version, "from" => "store",
                    "revision" => revision, "held_ms" => held.0);
            }
            Origin::Peer(holder) => {
                info!(self.log, "configuration_read"; "version" => version, "from" => %holder);
            }
        }
    }
}
