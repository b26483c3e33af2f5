//! Starts the services of one daemon in dependency order, and drains and stops them.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::set::Set;
use cactusglade_core::settings::Settings;
use cactusglade_core::units::Millis;
use cactusglade_kernel::kernel;
use cactusglade_kernel::kernel::Fault;
use cactusglade_kernel::kernel::Kernel;
use kameo::actor::ActorRef;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::config;
use crate::config::Config;
use crate::dispatch;
use crate::dispatch::Dispatch;
use crate::driver;
use crate::driver::Driver;
use crate::gate;
use crate::gate::Gate;
use crate::gate::Reclaim;
use crate::ledger::Ledger;
use crate::metrics;
use crate::metrics::Metrics;
use crate::ops;
use crate::ops::Ops;
use crate::peer;
use crate::peer::Peer;
use crate::platform::Platform;
use crate::poll;
use crate::poll::Poll;
use crate::relay;
use crate::relay::Relay;
use crate::store;
use crate::store::Store;
use crate::work;
use crate::work::Work;
use cactusglade_link::body::Budget;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_link::link::Client;

/// Time before the reclaim of the host at which open chats are ended and handed over.
const HANDOVER_LEAD: Millis = Millis(2_000);

/// `Error` is a failure to start a daemon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A service failed to start.
    #[error(transparent)]
    Kernel(#[from] kernel::Error),
    /// The metrics could not be registered.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// Address of the socket, `0.0.0.0:0` where it is unknown.
        address: SocketAddr,
        /// Error of the operating system.
        reason: std::io::Error,
    },
}

/// `Result` of starting a daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// `Shutdown` is the reason for which a daemon has to stop without a signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shutdown {
    /// The named service ended although nothing had requested it.
    Fault(&'static str),
    /// The cloud reclaims the daemon's own host at this Unix time.
    Reclaim(Millis),
}

/// `Daemon` is a running daemon with all its services.
pub struct Daemon {
    /// Bound address for callers.
    pub callers: SocketAddr,
    /// Bound address for operators.
    pub operators: SocketAddr,
    /// Bound address for other daemons.
    pub peers: SocketAddr,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// The active object set.
    pub sets: watch::Receiver<Arc<Set>>,
    kernel: Kernel,
    faults: mpsc::UnboundedReceiver<Fault>,
    notices: mpsc::Receiver<Millis>,
    draining: watch::Sender<bool>,
    leaving: watch::Sender<Reclaim>,
    gate: ActorRef<Gate>,
    lame_duck: Duration,
    drain: Duration,
    log: Logger,
}

struct Sockets {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Daemon {
    /// Opens the sockets and starts the services of a daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] when an address is in use, [`Error::Metrics`] when the metrics
    /// can't be registered, and [`Error::Kernel`] when a service fails to start.
    pub async fn try_new(settings: &Settings, log: Logger) -> Result<Self> {
        let sockets = Sockets {
            callers: listen(settings.callers)?,
            operators: listen(settings.operators)?,
            peers: listen(settings.peers)?,
        };
        let (callers, operators, peers) = (
            local_address(&sockets.callers)?,
            local_address(&sockets.operators)?,
            local_address(&sockets.peers)?,
        );
        let metrics = Metrics::try_new()?;
        let (kernel, faults) = Kernel::new(&settings.name, log.clone());
        let (set_sender, sets) = watch::channel(Arc::default());
        let (draining, draining_receiver) = watch::channel(false);
        let (leaving, leaving_receiver) = watch::channel(Reclaim::Unannounced);
        let (notice, notices) = mpsc::channel(1);
        let builder = Builder {
            settings,
            peers,
            clock: Clock::default(),
            log: log.clone(),
            metrics: metrics.clone(),
            sets: sets.clone(),
            draining: draining_receiver,
            leaving: leaving_receiver,
        };
        let (kernel, gate) = builder.start(kernel, sockets, set_sender, notice).await?;
        info!(log, "daemon_started"; "zone" => &settings.zone,
            "callers" => %callers, "operators" => %operators, "peers" => %peers);
        let lame_duck = Duration::from_millis(settings.limits.lame_duck.0);
        let drain = Duration::from_millis(settings.limits.drain_timeout.0);
        Ok(Self {
            callers,
            operators,
            peers,
            metrics,
            sets,
            kernel,
            faults,
            notices,
            draining,
            leaving,
            gate,
            lame_duck,
            drain,
            log,
        })
    }

    /// Waits until a service ends unexpectedly or the host is reclaimed.
    pub async fn shutdown_requested(&mut self) -> Shutdown {
        tokio::select! {
            Some(fault) = self.faults.recv() => Shutdown::Fault(fault.service),
            Some(gone) = self.notices.recv() => Shutdown::Reclaim(gone),
        }
    }

    /// Drains and stops the daemon before its host is reclaimed at the Unix time `gone`.
    ///
    /// Chats that do not finish before that are handed over to peers. Returns whether every request
    /// ended or was handed over within the drain limit.
    pub async fn leave(self, gone: Millis) -> bool {
        self.draining.send_replace(true);
        self.leaving.send_replace(Reclaim::Noticed);
        let delay = gone - clock::unix_time() - HANDOVER_LEAD;
        tokio::time::sleep(Duration::from_millis(delay.0)).await;
        info!(self.log, "handing_over");
        self.leaving.send_replace(Reclaim::Imminent);
        self.drain_and_stop().await
    }

    /// Reports itself as not ready, stops accepting, waits for open requests, and stops the
    /// services in reverse order.
    ///
    /// Returns whether every request ended within the drain limit.
    pub async fn stop(self) -> bool {
        self.draining.send_replace(true);
        info!(self.log, "draining"; "limit_ms" => self.drain.as_millis());
        tokio::time::sleep(self.lame_duck).await;
        self.drain_and_stop().await
    }

    async fn drain_and_stop(self) -> bool {
        let drained = self
            .gate
            .ask(gate::Drain(self.drain))
            .await
            .unwrap_or(false);
        if !drained {
            warn!(self.log, "drain_incomplete"; "limit_ms" => self.drain.as_millis());
        }
        self.kernel.stop().await;
        info!(self.log, "daemon_stopped"; "drained" => drained);
        drained
    }
}

struct Builder<'a> {
    settings: &'a Settings,
    peers: SocketAddr,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    sets: watch::Receiver<Arc<Set>>,
    draining: watch::Receiver<bool>,
    leaving: watch::Receiver<Reclaim>,
}

impl Builder<'_> {
    /// Starts the services, each after the services that it sends messages to.
    async fn start(
        &self,
        mut kernel: Kernel,
        sockets: Sockets,
        sets: watch::Sender<Arc<Set>>,
        notice: mpsc::Sender<Millis>,
    ) -> Result<(Kernel, ActorRef<Gate>)> {
        let timeout = Duration::from_millis(self.settings.platform_timeout.0);
        let platform = Platform::new(Client::new(self.settings.platform, timeout));
        kernel.start::<Store>(store::NAME, platform.clone()).await?;
        kernel
            .start::<Dispatch>(dispatch::NAME, self.dispatch())
            .await?;
        let config = self.config(&kernel, &platform, sets)?;
        kernel.start::<Config>(config::NAME, config).await?;
        kernel.start::<Relay>(relay::NAME, ()).await?;
        let peer = self.peer(&kernel, sockets.peers)?;
        let peer = kernel.start::<Peer>(peer::NAME, peer).await?;
        self.subscribe_peer(&kernel, &peer).await?;
        let poll = self.poll(&kernel, &platform, notice)?;
        kernel.start::<Poll>(poll::NAME, poll).await?;
        let driver = self.driver(&kernel, &platform)?;
        kernel.start::<Driver>(driver::NAME, driver).await?;
        let ops = self.ops(&kernel, sockets.operators)?;
        kernel.start::<Ops>(ops::NAME, ops).await?;
        let context = self.context(&kernel, &platform)?;
        let work = work::Options {
            holder: self.holder(),
            context: context.clone(),
        };
        kernel.start::<Work>(work::NAME, work).await?;
        let gate = gate::Options {
            listener: sockets.callers,
            context,
        };
        let gate = kernel.start::<Gate>(gate::NAME, gate).await?;
        Ok((kernel, gate))
    }

    /// Name of the daemon with its start time, which identifies this process as a lease holder.
    fn holder(&self) -> String {
        format!("{}/{}", self.settings.name, clock::unix_time().0)
    }

    fn dispatch(&self) -> dispatch::Options {
        dispatch::Options {
            zone: self.settings.zone.clone(),
            max_waiting: self.settings.limits.queue,
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn config(
        &self,
        kernel: &Kernel,
        platform: &Platform,
        sets: watch::Sender<Arc<Set>>,
    ) -> Result<config::Options> {
        Ok(config::Options {
            platform: platform.clone(),
            local_address: self.peers.ip(),
            sets,
            dispatch: kernel.find(dispatch::NAME)?,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        })
    }

    fn peer(&self, kernel: &Kernel, listener: TcpListener) -> Result<peer::Options> {
        let dispatch = kernel.find::<Dispatch>(dispatch::NAME)?;
        let config = kernel.find::<Config>(config::NAME)?;
        Ok(peer::Options {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            address: self.settings.advertised.unwrap_or(self.peers),
            local_address: self.peers.ip(),
            listener,
            seeds: self.settings.seeds.clone(),
            gossip_interval: self.settings.gossip_interval,
            sets: self.sets.clone(),
            updates: dispatch.clone().recipient(),
            summaries: dispatch.reply_recipient(),
            heads: config.clone().recipient(),
            joins: config.clone().recipient(),
            snapshots: config.reply_recipient(),
            relay: kernel.find(relay::NAME)?,
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
        })
    }

    /// Passes a reference to the peer service to the services that were started before it.
    async fn subscribe_peer(&self, kernel: &Kernel, peer: &ActorRef<Peer>) -> Result<()> {
        let dispatch = kernel.find::<Dispatch>(dispatch::NAME)?;
        let config = kernel.find::<Config>(config::NAME)?;
        // A failed send means that the service has ended, which the kernel reports as a fault.
        let _ = dispatch
            .tell(dispatch::Subscribe(peer.clone().recipient()))
            .await;
        let _ = config
            .tell(config::Subscribe(peer.clone().recipient()))
            .await;
        Ok(())
    }

    fn poll(
        &self,
        kernel: &Kernel,
        platform: &Platform,
        own_notice: mpsc::Sender<Millis>,
    ) -> Result<poll::Options> {
        Ok(poll::Options {
            host: self.settings.host.clone(),
            interval: self.settings.poll_interval,
            platform: platform.clone(),
            sets: self.sets.clone(),
            config: kernel.find(config::NAME)?,
            peer: kernel.find(peer::NAME)?,
            own_notice,
            clock: self.clock,
        })
    }

    fn driver(&self, kernel: &Kernel, platform: &Platform) -> Result<driver::Options> {
        Ok(driver::Options {
            holder: self.holder(),
            platform: platform.clone(),
            dispatch: kernel.find(dispatch::NAME)?,
            peer: kernel.find(peer::NAME)?,
            clock: self.clock,
            log: self.log.clone(),
        })
    }

    fn ops(&self, kernel: &Kernel, listener: TcpListener) -> Result<ops::Options> {
        let context = ops::Context {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            sets: self.sets.clone(),
            draining: self.draining.clone(),
            dispatch: kernel.find(dispatch::NAME)?,
            peer: kernel.find(peer::NAME)?,
            poll: kernel.find(poll::NAME)?,
            metrics: self.metrics.clone(),
        };
        Ok(ops::Options { listener, context })
    }

    fn context(&self, kernel: &Kernel, platform: &Platform) -> Result<Arc<gate::Context>> {
        Ok(Arc::new(gate::Context {
            daemon: self.settings.name.clone(),
            limits: self.settings.limits,
            sets: self.sets.clone(),
            draining: self.draining.clone(),
            reclaim: self.leaving.clone(),
            dispatch: kernel.find(dispatch::NAME)?,
            peer: kernel.find(peer::NAME)?,
            relay: kernel.find(relay::NAME)?,
            platform: platform.clone(),
            ledger: Ledger::new(kernel.find(store::NAME)?, platform.clone()),
            clock: self.clock,
            bodies: Budget::default(),
            answers: Budget::default(),
            log: self.log.clone(),
            metrics: self.metrics.clone(),
            requests: TaskTracker::new(),
        }))
    }
}

/// Opens a non-blocking listening socket, to be registered with a runtime later.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|reason| Error::Listen { address, reason })
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|reason| Error::Listen {
        address: unknown,
        reason,
    })
}
