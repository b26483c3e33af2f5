//! Starts the services of one daemon on the platform in their order, and drains and stops them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::edge::Settings;
use cactusglade_core::units::Millis;
use cactusglade_kernel::kernel;
use cactusglade_kernel::kernel::Fault;
use cactusglade_kernel::kernel::Kernel;
use cactusglade_link::clock::Clock;
use cactusglade_policy::broker as policy;
use cactusglade_policy::budget;
use cactusglade_policy::quota::Tolerance;
use cactusglade_wire::port::Platform;
use kameo::actor::ActorRef;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::duty;
use crate::edge::duty::Duty;
use crate::edge::front;
use crate::edge::front::Finish;
use crate::edge::front::Front;
use crate::edge::front::Phase;
use crate::edge::mesh;
use crate::edge::mesh::Hearsay;
use crate::edge::mesh::Mesh;
use crate::edge::ready;
use crate::edge::ready::Ready;
use crate::edge::ready::State;
use crate::edge::watch as follow;
use crate::edge::watch::DIRECTORY;
use crate::edge::watch::Entries;
use crate::edge::watch::OPERATOR;
use crate::edge::watch::Orders;
use crate::edge::watch::Relayed;
use crate::edge::watch::Watch;
use crate::metrics;
use crate::metrics::Metrics;

/// Time after the stop signal for which new connections are still taken: the balancer asks once a
/// second and turns away after two misses.
const ACCEPTING: Duration = Duration::from_millis(2_600);
/// Time before the platform kills the process by which everything has ended.
const SPARE: Duration = Duration::from_millis(400);
/// Changes of the registry passed on by another daemon that may wait to be taken in.
const PASSED: usize = 64;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Error of starting a daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A service did not start.
    #[error(transparent)]
    Kernel(#[from] kernel::Error),
    /// The metrics could not be defined.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: std::io::Error,
    },
}

/// Result of starting a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// `Daemon` is a running daemon on the platform `P`.
pub struct Daemon<P: Platform> {
    kernel: Kernel,
    faults: mpsc::UnboundedReceiver<Fault>,
    draining: watch::Sender<bool>,
    phase: watch::Sender<Phase>,
    front: ActorRef<Front<P::Front>>,
    duty: ActorRef<Duty<P>>,
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
        let ready = listen(settings.ready)?;
        let metrics = Metrics::try_new()?;
        let (mut kernel, faults) = Kernel::new(&settings.name, log.clone());
        let (catalog, catalogs) = watch::channel(Arc::default());
        let (draining, drains) = watch::channel(false);
        let (phase, phases) = watch::channel(Phase::Serving);
        let clock = Clock::default();
        let broker = broker::Options {
            policy: policy(settings),
            window: seconds(settings.usage_window_s),
            catalogs: catalog,
            clock,
            log: log.clone(),
        };
        let broker = kernel.start::<Broker>(broker::NAME, broker).await?;
        let state = State {
            catalogs: catalogs.clone(),
            draining: drains,
        };
        let ready = ready::Options {
            listener: ready,
            state,
        };
        kernel.start::<Ready>(ready::NAME, ready).await?;
        let (hearsay, heard) = watch::channel(Hearsay::default());
        let (entries, passed) = mpsc::channel(PASSED);
        let mesh = mesh::Options {
            zone: settings.zone.clone(),
            socket: datagrams(settings.peers)?,
            address: settings.peers,
            seeds: settings.seeds.clone(),
            broker: broker.clone(),
            hearsay,
            entries,
            clock,
            log: log.clone(),
        };
        let mesh = Mesh::try_new(mesh).map_err(|reason| Error::Listen {
            address: settings.peers,
            reason,
        })?;
        let mesh = kernel.start::<Mesh>(mesh::NAME, mesh).await?;
        let own = (settings.peers, settings.zone.clone());
        let (store, name) = (platform.store(), settings.name.clone());
        tokio::spawn(mesh::find(store, mesh.clone(), name, own, log.clone()));
        let registry = Relayed {
            source: platform.directory(),
            hearsay: heard,
            entries: passed,
            mesh: mesh.clone(),
            has_asked: false,
            parts: Vec::new(),
        };
        Self::follow(&mut kernel, &platform, registry, &broker, &log).await?;
        let duty = duty::Options {
            name: settings.name.clone(),
            platform: platform.clone(),
            broker: broker.clone(),
            mesh,
            catalogs: catalogs.clone(),
            window: seconds(settings.usage_window_s),
            late: seconds(settings.usage_late_s),
            zones: settings.zones.clone(),
            clock,
            log: log.clone(),
        };
        let duty = kernel.start::<Duty<P>>(duty::NAME, duty).await?;
        let context = front::Context {
            front: platform.front(),
            broker,
            catalogs,
            phase: phases,
            clock,
            log: log.clone(),
            metrics,
        };
        let front = front::Options {
            listener: callers,
            context: Arc::new(context),
        };
        let front = kernel.start(front::NAME, front).await?;
        info!(log, "daemon_started"; "zone" => &settings.zone, "callers" => %settings.callers);
        Ok(Self {
            kernel,
            faults,
            draining,
            phase,
            front,
            duty,
            grace: Duration::from_secs_f64(settings.grace_s),
            log,
        })
    }

    /// Starts the services that follow the operators and the registry.
    async fn follow(
        kernel: &mut Kernel,
        platform: &P,
        registry: Relayed<P::Directory>,
        broker: &ActorRef<Broker>,
        log: &Logger,
    ) -> Result<()> {
        let orders = follow::Options {
            name: OPERATOR,
            source: platform.operator(),
            sink: Orders {
                broker: broker.clone(),
                catalog: Arc::<Catalog>::default(),
                log: log.clone(),
            },
            log: log.clone(),
        };
        kernel
            .start::<Watch<P::Operator, Orders>>(OPERATOR, orders)
            .await?;
        let entries = follow::Options {
            name: DIRECTORY,
            source: registry,
            sink: Entries {
                broker: broker.clone(),
            },
            log: log.clone(),
        };
        kernel
            .start::<Watch<Relayed<P::Directory>, Entries>>(DIRECTORY, entries)
            .await?;
        Ok(())
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

fn policy(settings: &Settings) -> policy::Options {
    policy::Options {
        zone: settings.zone.clone(),
        repeats: budget::Bounds {
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

fn listen(address: SocketAddr) -> Result<TcpListener> {
    let failed = |reason| Error::Listen { address, reason };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    Ok(listener)
}

fn datagrams(address: SocketAddr) -> Result<UdpSocket> {
    let failed = |reason| Error::Listen { address, reason };
    let socket = UdpSocket::bind(address).map_err(failed)?;
    socket.set_nonblocking(true).map_err(failed)?;
    Ok(socket)
}
