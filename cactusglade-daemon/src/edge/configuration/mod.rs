//! Service that owns the operators' configuration, and fetches it from another daemon where the store
//! does not give this one the newest version.

mod exchange;

use std::net::SocketAddr;
use std::sync::Arc;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::catalog::Draft;
use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_policy::lag::Lag;
use cactusglade_policy::lag::Notice;
use cactusglade_policy::lag::Step;
use kameo::Actor;
use kameo::Reply;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::accept;
use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::mesh;
use crate::edge::mesh::Mesh;
use crate::metrics::Metrics;

/// Name of the service.
pub const NAME: &str = "configuration";
/// Maximum number of open connections of other daemons. Each fetches at most twice a second, and
/// closes its connection then.
const MAX_CONNECTIONS: usize = 64;

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Broker, which applies the configuration.
    pub broker: ActorRef<Broker>,
    /// Mesh, which states the version in force to other daemons.
    pub mesh: ActorRef<Mesh>,
    /// Newest version that other daemons state to be in force.
    pub notices: watch::Receiver<Option<Notice>>,
    /// Socket at which other daemons fetch the configuration.
    pub listener: std::net::TcpListener,
    /// Publishes the newest version that the store should have told this daemon and has not.
    pub missed: watch::Sender<u64>,
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
    /// Configuration in force as read, for other daemons.
    in_force: watch::Sender<Option<Arc<Draft>>>,
    missed: watch::Sender<u64>,
    lag: Lag,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    /// Dropping it ends the listening task.
    _stop: oneshot::Sender<()>,
}

/// `Origin` is where a configuration was read.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// The store, at this revision, by a call that it held for this time.
    Store {
        /// Revision that the store stated.
        revision: Revision,
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

/// `Assess` records what other daemons state; the reply is what to do next.
#[derive(Clone, Copy, Debug)]
struct Assess(Option<Notice>);

/// `Course` is the next step towards the newest configuration.
#[derive(Clone, Copy, Debug, Reply)]
struct Course(Step);

/// `Unfetched` reports that another daemon did not give its configuration.
#[derive(Debug)]
struct Unfetched(Notice, exchange::Error);

impl Actor for Configuration {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (stop, stopped) = oneshot::channel();
        let (in_force, served) = watch::channel(None);
        let serve = move |socket| exchange::serve(socket, served.clone());
        tokio::spawn(accept::run(listener, MAX_CONNECTIONS, stopped, serve));
        let follow = follow(actor.downgrade(), options.notices, options.clock);
        tokio::spawn(follow);
        Ok(Self {
            broker: options.broker,
            mesh: options.mesh,
            catalog: Arc::default(),
            in_force,
            missed: options.missed,
            lag: Lag::default(),
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
            _stop: stop,
        })
    }
}

/// Fetches newer configurations from other daemons, until the service or the mesh stops.
async fn follow(
    actor: WeakActorRef<Configuration>,
    mut notices: watch::Receiver<Option<Notice>>,
    clock: Clock,
) {
    loop {
        let notice = *notices.borrow_and_update();
        let step = match actor.upgrade() {
            Some(actor) => actor.ask(Assess(notice)).await,
            None => return,
        };
        let Ok(Course(step)) = step else { return };
        let until = match step {
            Step::Rest => None,
            Step::Wait(until) => Some(clock.instant(until)),
            Step::Fetch(notice) => {
                let fetched = exchange::fetch(notice).await;
                let Some(actor) = actor.upgrade() else { return };
                // Fails only while the daemon stops, which the next message shows.
                let _ = match fetched {
                    Ok(draft) => {
                        let origin = Origin::Peer(notice.holder);
                        actor.ask(Configure { draft, origin }).await.is_ok()
                    }
                    Err(reason) => actor.ask(Unfetched(notice, reason)).await.is_ok(),
                };
                continue;
            }
        };
        let timer = async {
            match until {
                Some(until) => tokio::time::sleep_until(until).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = notices.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = timer => {}
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
        match Catalog::try_new(configure.draft.clone(), &self.catalog) {
            Ok(catalog) => {
                self.catalog = Arc::new(catalog);
                self.lag.adopt(self.clock.now(), version);
                if matches!(configure.origin, Origin::Peer(_)) {
                    self.missed.send_replace(version);
                }
                self.in_force.send_replace(Some(Arc::new(configure.draft)));
                // Both fail only while the daemon stops.
                let _ = self.broker.tell(broker::Adopt(self.catalog.clone())).await;
                let _ = self.mesh.tell(mesh::InForce(version)).await;
            }
            Err(reason) => {
                warn!(self.log, "configuration_refused"; "version" => version,
                    "in_force" => self.catalog.version, "reason" => %reason);
                self.lag.record_failure(self.clock.now());
            }
        }
    }
}

impl Message<Assess> for Configuration {
    type Reply = Course;

    async fn handle(&mut self, assess: Assess, _: &mut Context<Self, Course>) -> Course {
        let now = self.clock.now();
        if let Some(notice) = assess.0
            && self.lag.record(now, notice)
        {
            info!(self.log, "configuration_behind"; "in_force" => self.catalog.version,
                "stated" => notice.version, "holder" => %notice.holder,
                "age_ms" => (now - notice.stated).0);
            self.metrics.behind.inc();
        }
        Course(self.lag.step(now))
    }
}

impl Message<Unfetched> for Configuration {
    type Reply = ();

    async fn handle(&mut self, unfetched: Unfetched, _: &mut Context<Self, ()>) {
        let Unfetched(notice, reason) = unfetched;
        warn!(self.log, "configuration_unfetched"; "in_force" => self.catalog.version,
            "stated" => notice.version, "holder" => %notice.holder, "reason" => %reason);
        if reason.is_partial() {
            // Only the store, or a daemon of this build, has it in full. A call to the store is made
            // again once for each version, so that fetches don't cut off every call.
            self.missed.send_if_modified(|missed| {
                let is_new = *missed < notice.version;
                *missed = notice.version.max(*missed);
                is_new
            });
        }
        self.lag.record_failure(self.clock.now());
    }
}

impl Configuration {
    /// Logs where a newer configuration was read.
    fn log_origin(&self, version: u64, origin: Origin) {
        match origin {
            Origin::Store { revision, held } => {
                info!(self.log, "configuration_read"; "version" => version, "from" => "store",
                    "revision" => revision.number, "era" => revision.era, "held_ms" => held.0);
            }
            Origin::Peer(holder) => {
                info!(self.log, "configuration_read"; "version" => version, "from" => %holder);
            }
        }
    }
}
