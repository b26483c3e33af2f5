//! Starts the services of one daemon on the platform in order, and drains and stops them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::edge::Settings;
use cactusglade_core::units::Millis;
use cactusglade_kernel::kernel::Fault;
use cactusglade_kernel::kernel::Kernel;
use cactusglade_link::body::Budget;
use cactusglade_link::clock::Clock;
use cactusglade_policy::broker as policy;
use cactusglade_policy::budget;
use cactusglade_policy::lag::Notice;
use cactusglade_policy::quota::Tolerance;
use cactusglade_policy::usage::Ledger;
use cactusglade_policy::warmup;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Rollout;
use kameo::actor::ActorRef;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::boot::Error;
use crate::boot::Result;
use crate::boot::listen;
use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::configuration;
use crate::edge::configuration::Configuration;
use crate::edge::duty;
use crate::edge::duty::Duty;
use crate::edge::front;
use crate::edge::front::Drain;
use crate::edge::front::Front;
use crate::edge::front::Phase;
use crate::edge::measure::Measured;
use crate::edge::mesh;
use crate::edge::mesh::Mesh;
use crate::edge::mesh::Progress;
use crate::edge::probe;
use crate::edge::probe::Probe;
use crate::edge::probe::State;
use crate::edge::pulse;
use crate::edge::pulse::Pulse;
use crate::edge::watch as source_watch;
use crate::edge::watch::DIRECTORY;
use crate::edge::watch::Entries;
use crate::edge::watch::OPERATOR;
use crate::edge::watch::Orders;
use crate::edge::watch::Relayed;
use crate::edge::watch::Supervised;
use crate::edge::watch::Watch;
use crate::metrics::Metrics;

/// Time after the stop signal for which new connections are still accepted. The balancer checks
/// readiness once a second and stops sending connections after two failed checks.
const LAME_DUCK_PERIOD: Millis = Millis(2_600);
/// Time that is left for stopping the services before the platform kills the process.
const STOP_MARGIN: Millis = Millis(400);
/// Time before the services are stopped at which requests without an answer get an error.
const ENDING_PERIOD: Millis = Millis(150);
/// Capacity of the queue of datagrams with changes of the registry that the relay forwards.
const FORWARDED_CAPACITY: usize = 64;
/// Time within which a partition is detected, until the size of the zone is known.
const MAX_DETECTION_TIME: Millis = Millis(1_200);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Daemon` is a daemon that runs on the platform `P`.
pub struct Daemon<P: Platform> {
    kernel: Kernel,
    faults: mpsc::UnboundedReceiver<Fault>,
    draining: watch::Sender<bool>,
    phase: watch::Sender<Phase>,
    broker: ActorRef<Broker>,
    front: ActorRef<Front<P::Codec>>,
    duty: ActorRef<Duty<Measured<P>>>,
    grace: Millis,
    clock: Clock,
    log: Logger,
}

impl<P: Platform> Daemon<P> {
    /// Starts all services of a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or a service does not start.
    pub async fn try_new(settings: &Settings, platform: P, log: Logger) -> Result<Self> {
        let callers = listen(settings.callers)?;
        let (kernel, faults) = Kernel::new(&settings.name, log.clone());
        let (catalog, catalogs) = watch::channel(Arc::default());
        let (draining, draining_state) = watch::channel(false);
        let (phase, phases) = watch::channel(Phase::Serving);
        let metrics = Metrics::try_new()?;
        let mut starter = Starter {
            settings,
            platform: Measured::new(platform, metrics.clone()),
            kernel,
            catalogs,
            phases,
            registry_outage: watch::Sender::new(false),
            clock: Clock::default(),
            metrics,
            log: log.clone(),
        };
        let broker = starter.start_broker(catalog).await?;
        starter.start_probes(draining_state, &broker).await?;
        let (rollouts, ordered) = watch::channel(BTreeMap::new());
        let (eras, era) = watch::channel(0);
        let mesh = starter.start_mesh(&broker, rollouts, eras).await?;
        let duty = starter.start_duty(&broker, mesh, ordered, era).await?;
        let front = starter.start_front(callers, broker.clone()).await?;
        info!(log, "daemon_started"; "zone" => &settings.zone, "callers" => %settings.callers);
        Ok(Self {
            kernel: starter.kernel,
            faults,
            draining,
            phase,
            broker,
            front,
            duty,
            grace: from_seconds(settings.grace_s),
            clock: starter.clock,
            log,
        })
    }

    /// Waits until a service has ended unexpectedly, and returns its name.
    pub async fn end(&mut self) -> &'static str {
        match self.faults.recv().await {
            Some(fault) => fault.service,
            // The kernel keeps the sender until the daemon is dropped.
            None => std::future::pending().await,
        }
    }

    /// Reports that the daemon is not ready, lets requests finish within the platform's grace
    /// period, and stops the services in reverse order.
    ///
    /// The grace period goes on while the host is suspended. Returns whether every connection ended
    /// within it.
    pub async fn stop(self) -> bool {
        let began = self.clock.now();
        let end = began + (self.grace - STOP_MARGIN);
        self.draining.send_replace(true);
        self.phase.send_replace(Phase::Draining);
        info!(self.log, "draining"; "limit_ms" => self.grace.0);
        // Fails only if the service has ended unexpectedly, and with it the daemon.
        let _ = self.broker.tell(broker::Drain).await;
        self.clock.sleep_until(began + LAME_DUCK_PERIOD).await;
        self.phase.send_replace(Phase::Closing);
        let drain = Drain {
            until: end - ENDING_PERIOD,
        };
        let is_drained = self.front.ask(drain).await.unwrap_or(false);
        if !is_drained {
            warn!(self.log, "drain_incomplete"; "limit_ms" => self.grace.0);
            self.phase.send_replace(Phase::Ending);
            // Streams that have begun go on until the process ends.
            let _ = self.front.ask(Drain { until: end }).await;
        }
        // Fails only if the service has ended unexpectedly, and with it the daemon.
        let _ = self.duty.ask(duty::Flush).await;
        self.kernel.stop().await;
        info!(self.log, "daemon_stopped"; "drained" => is_drained);
        is_drained
    }
}

/// Starts the services, each after those that it sends messages to, and holds what they share.
struct Starter<'a, P> {
    settings: &'a Settings,
    platform: P,
    kernel: Kernel,
    catalogs: watch::Receiver<Arc<Catalog>>,
    phases: watch::Receiver<Phase>,
    /// Publishes whether the registry of upstreams can't be read.
    registry_outage: watch::Sender<bool>,
    clock: Clock,
    metrics: Metrics,
    log: Logger,
}

impl<P: Platform> Starter<'_, P> {
    /// Starts the broker.
    async fn start_broker(
        &mut self,
        catalogs: watch::Sender<Arc<Catalog>>,
    ) -> Result<ActorRef<Broker>> {
        let options = broker::Options {
            policy: policy_options(self.settings),
            window: from_seconds(self.settings.usage_window_s),
            catalogs,
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        };
        Ok(self.kernel.start::<Broker>(broker::NAME, options).await?)
    }

    /// Starts the services that answer the balancer's readiness checks and the operators, and the one
    /// that measures the event loop.
    async fn start_probes(
        &mut self,
        draining: watch::Receiver<bool>,
        broker: &ActorRef<Broker>,
    ) -> Result<()> {
        let state = State {
            catalogs: self.catalogs.clone(),
            draining,
            metrics: self.metrics.clone(),
            broker: None,
        };
        let explaining = Some(broker.clone());
        for (name, address, broker) in [
            (probe::READY, self.settings.ready, None),
            (probe::OPERATORS, self.settings.operators, explaining),
        ] {
            let options = probe::Options {
                listener: listen(address)?,
                state: State {
                    broker,
                    ..state.clone()
                },
            };
            self.kernel.start::<Probe>(name, options).await?;
        }
        let options = pulse::Options {
            metrics: self.metrics.clone(),
            log: self.log.clone(),
        };
        self.kernel.start::<Pulse>(pulse::NAME, options).await?;
        Ok(())
    }

    /// Starts the mesh, the discovery of daemons, and the services that follow the store.
    async fn start_mesh(
        &mut self,
        broker: &ActorRef<Broker>,
        rollouts: watch::Sender<BTreeMap<String, Rollout>>,
        eras: watch::Sender<u64>,
    ) -> Result<ActorRef<Mesh>> {
        let settings = self.settings;
        let (progress, relay_progress) = watch::channel(Progress::default());
        let (entries, forwarded) = mpsc::channel(FORWARDED_CAPACITY);
        let (notices, stated) = watch::channel(None);
        let mesh = Mesh::try_new(mesh::Options {
            zone: settings.zone.clone(),
            socket: bind_datagrams(settings.peers)?,
            address: settings.peers,
            seeds: settings.seeds.clone(),
            broker: broker.clone(),
            progress,
            entries,
            notices,
            ledger: Ledger::new(
                from_seconds(settings.usage_window_s),
                from_seconds(settings.usage_late_s),
            ),
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.datagrams.clone(),
        });
        let mesh = mesh.map_err(|reason| Error::Listen {
            address: settings.peers,
            reason,
        })?;
        let mesh = self.kernel.start::<Mesh>(mesh::NAME, mesh).await?;
        self.start_discovery(&mesh, eras.subscribe());
        let (missed, gaps) = watch::channel(0);
        let operators = Supervised {
            source: self.platform.operator(),
            progress: relay_progress.clone(),
            missed: gaps,
            log: self.log.clone(),
        };
        let registry = Relayed {
            source: self.platform.directory(),
            progress: relay_progress,
            entries: forwarded,
            mesh: mesh.clone(),
            has_read_store: false,
            parts: Vec::new(),
        };
        let configuration = self
            .start_configuration(broker, &mesh, stated, missed)
            .await?;
        let (has_read, has_orders) = watch::channel(false);
        let orders = Orders {
            configuration,
            broker: broker.clone(),
            rollouts,
            eras,
            has_read,
        };
        self.start_watches(operators, orders, registry, has_orders)
            .await?;
        Ok(mesh)
    }

    /// Starts the task that finds the other daemons through the store.
    fn start_discovery(&self, mesh: &ActorRef<Mesh>, eras: watch::Receiver<u64>) {
        let settings = self.settings;
        let discovery = mesh::Discovery {
            store: self.platform.store(),
            name: settings.name.clone(),
            address: settings.peers,
            zone: settings.zone.clone(),
            eras,
            log: self.log.clone(),
        };
        tokio::spawn(discovery.run(mesh.clone()));
    }

    /// Starts the service that owns the configuration.
    async fn start_configuration(
        &mut self,
        broker: &ActorRef<Broker>,
        mesh: &ActorRef<Mesh>,
        notices: watch::Receiver<Option<Notice>>,
        missed: watch::Sender<u64>,
    ) -> Result<ActorRef<Configuration>> {
        let options = configuration::Options {
            broker: broker.clone(),
            mesh: mesh.clone(),
            notices,
            listener: listen(self.settings.peers)?,
            missed,
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        };
        let started = self.kernel.start(configuration::NAME, options).await?;
        Ok(started)
    }

    /// Starts the services that follow the operators and the registry.
    async fn start_watches(
        &mut self,
        operators: Supervised<P::Operator>,
        orders: Orders,
        registry: Relayed<P::Directory>,
        has_orders: watch::Receiver<bool>,
    ) -> Result<()> {
        let entries = Entries {
            broker: orders.broker.clone(),
            has_orders,
            orders_due: Instant::now() + source_watch::MAX_ORDER_WAIT,
            outage: self.registry_outage.clone(),
        };
        let orders = source_watch::Options {
            name: OPERATOR,
            source: operators,
            sink: orders,
            log: self.log.clone(),
        };
        let entries = source_watch::Options {
            name: DIRECTORY,
            source: registry,
            sink: entries,
            log: self.log.clone(),
        };
        self.kernel
            .start::<Watch<Supervised<P::Operator>, Orders>>(OPERATOR, orders)
            .await?;
        self.kernel
            .start::<Watch<Relayed<P::Directory>, Entries>>(DIRECTORY, entries)
            .await?;
        Ok(())
    }

    /// Starts the service for the duties.
    async fn start_duty(
        &mut self,
        broker: &ActorRef<Broker>,
        mesh: ActorRef<Mesh>,
        rollouts: watch::Receiver<BTreeMap<String, Rollout>>,
        eras: watch::Receiver<u64>,
    ) -> Result<ActorRef<Duty<P>>> {
        let options = duty::Options {
            name: self.settings.name.clone(),
            platform: self.platform.clone(),
            broker: broker.clone(),
            mesh,
            catalogs: self.catalogs.clone(),
            rollouts,
            window: from_seconds(self.settings.usage_window_s),
            report_within: from_seconds(self.settings.usage_late_s),
            zones: self.settings.zones.clone(),
            registry_outage: self.registry_outage.subscribe(),
            metrics: self.metrics.clone(),
            eras,
            clock: self.clock,
            log: self.log.clone(),
        };
        Ok(self.kernel.start::<Duty<P>>(duty::NAME, options).await?)
    }

    /// Starts the service for callers.
    async fn start_front(
        &mut self,
        listener: TcpListener,
        broker: ActorRef<Broker>,
    ) -> Result<ActorRef<Front<P::Codec>>> {
        let context = front::Context {
            codec: self.platform.codec(),
            broker,
            catalogs: self.catalogs.clone(),
            phase: self.phases.clone(),
            clock: self.clock,
            requests: Budget::default(),
            answers: Budget::default(),
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        };
        let options = front::Options {
            listener,
            context: Arc::new(context),
        };
        Ok(self.kernel.start(front::NAME, options).await?)
    }
}

/// Returns the broker's policy options from the settings.
fn policy_options(settings: &Settings) -> policy::Options {
    policy::Options {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        retries: budget::Bounds {
            ratio: settings.retry_ratio,
            window: from_seconds(settings.retry_window_s),
            slack: settings.retry_slack,
        },
        tolerance: Tolerance {
            window: from_seconds(settings.quota_window_s),
            overshoot: settings.quota_overshoot,
            slack: settings.quota_slack,
            detection: MAX_DETECTION_TIME,
        },
        tight_target: settings.tight_target_ms.map(from_millis),
        cold: settings
            .cold_overshoot
            .zip(settings.cold_slack)
            .map(|(overshoot, slack)| warmup::Bounds { overshoot, slack }),
        regions: settings.regions.clone(),
    }
}

/// Converts milliseconds with a fraction; negative ones count as zero.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn from_millis(milliseconds: f64) -> Millis {
    Millis(milliseconds.max(0.0) as u64)
}

/// Converts seconds to milliseconds, at least one.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn from_seconds(seconds: f64) -> Millis {
    Millis((seconds * MILLIS_PER_SECOND).max(1.0) as u64)
}

/// Binds the UDP socket of the mesh.
fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket> {
    let failed = |reason| Error::Listen { address, reason };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    Ok(socket)
}
