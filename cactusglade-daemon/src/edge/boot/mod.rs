//! Starts the services of one daemon on the platform in their order, and drains and stops them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::edge::Settings;
use cactusglade_core::units::Millis;
use cactusglade_kernel::kernel::Fault;
use cactusglade_kernel::kernel::Kernel;
use cactusglade_link::clock::Clock;
use cactusglade_policy::broker as policy;
use cactusglade_policy::budget;
use cactusglade_policy::quota::Tolerance;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Rollout;
use kameo::actor::ActorRef;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::boot::Error;
use crate::boot::Result;
use crate::boot::listen;
use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::duty;
use crate::edge::duty::Duty;
use crate::edge::front;
use crate::edge::front::Finish;
use crate::edge::front::Front;
use crate::edge::front::Phase;
use crate::edge::measure::Measured;
use crate::edge::mesh;
use crate::edge::mesh::Hearsay;
use crate::edge::mesh::Mesh;
use crate::edge::probe;
use crate::edge::probe::Probe;
use crate::edge::probe::State;
use crate::edge::watch as follow;
use crate::edge::watch::DIRECTORY;
use crate::edge::watch::Entries;
use crate::edge::watch::OPERATOR;
use crate::edge::watch::Orders;
use crate::edge::watch::Relayed;
use crate::edge::watch::Watch;
use crate::metrics::Metrics;

/// Time after the stop signal for which new connections are still taken: the balancer asks once a
/// second and turns away after two misses.
const ACCEPTING: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process by which everything has ended.
const SPARE: Duration = Duration::from_millis(400);
/// Changes of the registry passed on by another daemon that may wait to be taken in.
const PASSED: usize = 64;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// `Daemon` is a running daemon on the platform `P`.
pub struct Daemon<P: Platform> {
    kernel: Kernel,
    faults: mpsc::UnboundedReceiver<Fault>,
    draining: watch::Sender<bool>,
    phase: watch::Sender<Phase>,
    front: ActorRef<Front<P::Codec>>,
    duty: ActorRef<Duty<Measured<P>>>,
    grace: Duration,
    log: Logger,
}

impl<P: Platform> Daemon<P> {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or a service does not start.
    pub async fn try_new(settings: &Settings, platform: P, log: Logger) -> Result<Self> {
        let callers = listen(settings.callers)?;
        let (kernel, faults) = Kernel::new(&settings.name, log.clone());
        let (catalog, catalogs) = watch::channel(Arc::default());
        let (draining, drains) = watch::channel(false);
        let (phase, phases) = watch::channel(Phase::Serving);
        let metrics = Metrics::try_new()?;
        let mut parts = Parts {
            settings,
            platform: Measured::new(platform, metrics.clone()),
            kernel,
            catalogs,
            phases,
            clock: Clock::default(),
            metrics,
            log: log.clone(),
        };
        let broker = parts.broker(catalog).await?;
        parts.probes(drains).await?;
        let (rollouts, asked) = watch::channel(BTreeMap::new());
        let mesh = parts.mesh(&broker, rollouts).await?;
        let duty = parts.duty(&broker, mesh, asked).await?;
        let front = parts.front(callers, broker).await?;
        info!(log, "daemon_started"; "zone" => &settings.zone, "callers" => %settings.callers);
        Ok(Self {
            kernel: parts.kernel,
            faults,
            draining,
            phase,
            front,
            duty,
            grace: Duration::from_secs_f64(settings.grace_s),
            log,
        })
    }

    /// Waits until a service has ended unasked, and names it.
    pub async fn end(&mut self) -> &'static str {
        match self.faults.recv().await {
            Some(fault) => fault.service,
            // The kernel keeps the sender for as long as the daemon lives.
            None => std::future::pending().await,
        }
    }

    /// Says that it is not ready, lets requests finish within the platform's time, and stops the
    /// services in reverse order.
    ///
    /// Gives back whether every connection had ended in time.
    pub async fn stop(self) -> bool {
        self.draining.send_replace(true);
        self.phase.send_replace(Phase::Draining);
        info!(self.log, "draining"; "limit_ms" => self.grace.as_millis());
        tokio::time::sleep(ACCEPTING).await;
        self.phase.send_replace(Phase::Closing);
        let left = self.grace.saturating_sub(ACCEPTING + SPARE);
        let drained = self.front.ask(Finish(left)).await.unwrap_or(false);
        if !drained {
            warn!(self.log, "drain_incomplete"; "limit_ms" => self.grace.as_millis());
        }
        // The service ends unasked only with the daemon.
        let _ = self.duty.ask(duty::Flush).await;
        self.kernel.stop().await;
        info!(self.log, "daemon_stopped"; "drained" => drained);
        drained
    }
}

/// What the services are started with, each after those that it sends messages to.
struct Parts<'a, P> {
    settings: &'a Settings,
    platform: P,
    kernel: Kernel,
    catalogs: watch::Receiver<Arc<Catalog>>,
    phases: watch::Receiver<Phase>,
    clock: Clock,
    metrics: Metrics,
    log: Logger,
}

impl<P: Platform> Parts<'_, P> {
    async fn broker(&mut self, catalogs: watch::Sender<Arc<Catalog>>) -> Result<ActorRef<Broker>> {
        let options = broker::Options {
            policy: policy(self.settings),
            window: seconds(self.settings.usage_window_s),
            catalogs,
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        };
        Ok(self.kernel.start::<Broker>(broker::NAME, options).await?)
    }

    /// Starts what the balancer and the operators ask.
    async fn probes(&mut self, draining: watch::Receiver<bool>) -> Result<()> {
        let state = State {
            catalogs: self.catalogs.clone(),
            draining,
            metrics: self.metrics.clone(),
        };
        for (name, address) in [
            (probe::READY, self.settings.ready),
            (probe::OPERATORS, self.settings.operators),
        ] {
            let options = probe::Options {
                listener: listen(address)?,
                state: state.clone(),
            };
            self.kernel.start::<Probe>(name, options).await?;
        }
        Ok(())
    }

    /// Starts the mesh and the services that follow the operators and the registry.
    async fn mesh(
        &mut self,
        broker: &ActorRef<Broker>,
        rollouts: watch::Sender<BTreeMap<String, Rollout>>,
    ) -> Result<ActorRef<Mesh>> {
        let settings = self.settings;
        let (hearsay, heard) = watch::channel(Hearsay::default());
        let (entries, passed) = mpsc::channel(PASSED);
        let mesh = Mesh::try_new(mesh::Options {
            zone: settings.zone.clone(),
            socket: datagrams(settings.peers)?,
            address: settings.peers,
            seeds: settings.seeds.clone(),
            broker: broker.clone(),
            hearsay,
            entries,
            clock: self.clock,
            log: self.log.clone(),
        });
        let mesh = mesh.map_err(|reason| Error::Listen {
            address: settings.peers,
            reason,
        })?;
        let mesh = self.kernel.start::<Mesh>(mesh::NAME, mesh).await?;
        let own = (settings.peers, settings.zone.clone());
        let (store, name) = (self.platform.store(), settings.name.clone());
        tokio::spawn(mesh::find(store, mesh.clone(), name, own, self.log.clone()));
        let registry = Relayed {
            source: self.platform.directory(),
            hearsay: heard,
            entries: passed,
            mesh: mesh.clone(),
            has_asked: false,
            parts: Vec::new(),
        };
        self.follow(registry, broker, rollouts).await?;
        Ok(mesh)
    }

    async fn follow(
        &mut self,
        registry: Relayed<P::Directory>,
        broker: &ActorRef<Broker>,
        rollouts: watch::Sender<BTreeMap<String, Rollout>>,
    ) -> Result<()> {
        let orders = follow::Options {
            name: OPERATOR,
            source: self.platform.operator(),
            sink: Orders {
                broker: broker.clone(),
                catalog: Arc::<Catalog>::default(),
                rollouts,
                log: self.log.clone(),
            },
            log: self.log.clone(),
        };
        let entries = follow::Options {
            name: DIRECTORY,
            source: registry,
            sink: Entries {
                broker: broker.clone(),
            },
            log: self.log.clone(),
        };
        self.kernel
            .start::<Watch<P::Operator, Orders>>(OPERATOR, orders)
            .await?;
        self.kernel
            .start::<Watch<Relayed<P::Directory>, Entries>>(DIRECTORY, entries)
            .await?;
        Ok(())
    }

    async fn duty(
        &mut self,
        broker: &ActorRef<Broker>,
        mesh: ActorRef<Mesh>,
        rollouts: watch::Receiver<BTreeMap<String, Rollout>>,
    ) -> Result<ActorRef<Duty<P>>> {
        let options = duty::Options {
            name: self.settings.name.clone(),
            platform: self.platform.clone(),
            broker: broker.clone(),
            mesh,
            catalogs: self.catalogs.clone(),
            rollouts,
            window: seconds(self.settings.usage_window_s),
            late: seconds(self.settings.usage_late_s),
            zones: self.settings.zones.clone(),
            clock: self.clock,
            log: self.log.clone(),
        };
        Ok(self.kernel.start::<Duty<P>>(duty::NAME, options).await?)
    }

    async fn front(
        &mut self,
        listener: TcpListener,
        broker: ActorRef<Broker>,
    ) -> Result<ActorRef<Front<P::Codec>>> {
        let context = front::Context {
            front: self.platform.codec(),
            broker,
            catalogs: self.catalogs.clone(),
            phase: self.phases.clone(),
            clock: self.clock,
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

fn policy(settings: &Settings) -> policy::Options {
    policy::Options {
        zone: settings.zone.clone(),
        retries: budget::Bounds {
            ratio: settings.retry_ratio,
            window: seconds(settings.retry_window_s),
            slack: settings.retry_slack,
        },
        tolerance: Tolerance {
            window: seconds(settings.quota_window_s),
            overshoot: settings.quota_overshoot,
            slack: settings.quota_slack,
        },
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn seconds(span: f64) -> Millis {
    Millis((span * MILLIS_PER_SECOND).max(1.0) as u64)
}

fn datagrams(address: SocketAddr) -> Result<UdpSocket> {
    let failed = |reason| Error::Listen { address, reason };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    Ok(socket)
}
