//! Starts the services of one daemon in their order, and drains and stops them.

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
use crate::gate::Leaving;
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
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_link::link::Client;

/// Time before the host is gone at which chats are handed over.
const HAND_OVER: Millis = Millis(2_000);

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

/// `End` says why a daemon should stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A service ended unasked.
    Fault(&'static str),
    /// The daemon's own host is taken back and gone at this Unix time.
    Reclaim(Millis),
}

/// `Daemon` is a running daemon.
pub struct Daemon {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// The set in force.
    pub sets: watch::Receiver<Arc<Set>>,
    kernel: Kernel,
    faults: mpsc::UnboundedReceiver<Fault>,
    notices: mpsc::Receiver<Millis>,
    draining: watch::Sender<bool>,
    leaving: watch::Sender<Leaving>,
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
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or a service does not start.
    pub async fn try_new(settings: &Settings, log: Logger) -> Result<Self> {
        let sockets = Sockets {
            callers: listen(settings.callers)?,
            operators: listen(settings.operators)?,
            peers: listen(settings.peers)?,
        };
        let (callers, operators, peers) = (
            local(&sockets.callers)?,
            local(&sockets.operators)?,
            local(&sockets.peers)?,
        );
        let metrics = Metrics::try_new()?;
        let (kernel, faults) = Kernel::new(&settings.name, log.clone());
        let (set_sender, sets) = watch::channel(Arc::default());
        let (draining, drains) = watch::channel(false);
        let (leaving, leavings) = watch::channel(Leaving::No);
        let (notice, notices) = mpsc::channel(1);
        let parts = Parts {
            settings,
            peers,
            clock: Clock::default(),
            log: log.clone(),
            metrics: metrics.clone(),
            sets: sets.clone(),
            drains,
            leaving: leavings,
        };
        let (kernel, gate) = parts.start(kernel, sockets, set_sender, notice).await?;
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

    /// Waits until the daemon should stop of its own accord.
    pub async fn end(&mut self) -> End {
        tokio::select! {
            Some(fault) = self.faults.recv() => End::Fault(fault.service),
            Some(gone) = self.notices.recv() => End::Reclaim(gone),
        }
    }

    /// Leaves a host that is gone at a Unix time: chats that can't finish go on elsewhere.
    ///
    /// Gives back whether every request had ended or was handed over in time.
    pub async fn leave(self, gone: Millis) -> bool {
        self.draining.send_replace(true);
        self.leaving.send_replace(Leaving::Noticed);
        let left = gone - clock::unix_time() - HAND_OVER;
        tokio::time::sleep(Duration::from_millis(left.0)).await;
        info!(self.log, "handing_over");
        self.leaving.send_replace(Leaving::Soon);
        self.drain_and_stop().await
    }

    /// Says that it is not ready, stops accepting, lets every request finish, and stops the
    /// services in reverse order.
    ///
    /// Gives back whether every request had ended in time.
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

struct Parts<'a> {
    settings: &'a Settings,
    peers: SocketAddr,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
    sets: watch::Receiver<Arc<Set>>,
    drains: watch::Receiver<bool>,
    leaving: watch::Receiver<Leaving>,
}

impl Parts<'_> {
    /// Starts the services, each after those that it sends messages to.
    async fn start(
        &self,
        mut kernel: Kernel,
        sockets: Sockets,
        sets: watch::Sender<Arc<Set>>,
        notice: mpsc::Sender<Millis>,
    ) -> Result<(Kernel, ActorRef<Gate>)> {
        let within = Duration::from_millis(self.settings.platform_timeout.0);
        let platform = Platform::new(Client::new(self.settings.platform, within));
        kernel.start::<Store>(store::NAME, platform.clone()).await?;
        kernel
            .start::<Dispatch>(dispatch::NAME, self.dispatch())
            .await?;
        let config = self.config(&kernel, &platform, sets)?;
        kernel.start::<Config>(config::NAME, config).await?;
        kernel.start::<Relay>(relay::NAME, ()).await?;
        let peer = self.peer(&kernel, sockets.peers)?;
        let peer = kernel.start::<Peer>(peer::NAME, peer).await?;
        self.introduce(&kernel, &peer).await?;
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

    /// Name of this start of the daemon, as holder of leases.
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
            local: self.peers.ip(),
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
            local: self.peers.ip(),
            listener,
            seeds: self.settings.seeds.clone(),
            gossip: self.settings.gossip_interval,
            sets: self.sets.clone(),
            lessons: dispatch.clone().recipient(),
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

    /// Makes the peer service known to those that started before it.
    async fn introduce(&self, kernel: &Kernel, peer: &ActorRef<Peer>) -> Result<()> {
        let dispatch = kernel.find::<Dispatch>(dispatch::NAME)?;
        let config = kernel.find::<Config>(config::NAME)?;
        // Both have just started; one that has already ended is reported as a fault.
        let _ = dispatch
            .tell(dispatch::Introduce(peer.clone().recipient()))
            .await;
        let _ = config
            .tell(config::Introduce(peer.clone().recipient()))
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
            every: self.settings.poll_interval,
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
            draining: self.drains.clone(),
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
            draining: self.drains.clone(),
            leaving: self.leaving.clone(),
            dispatch: kernel.find(dispatch::NAME)?,
            peer: kernel.find(peer::NAME)?,
            relay: kernel.find(relay::NAME)?,
            platform: platform.clone(),
            ledger: Ledger::new(kernel.find(store::NAME)?, platform.clone()),
            clock: self.clock,
            log: self.log.clone(),
            metrics: self.metrics.clone(),
            requests: TaskTracker::new(),
        }))
    }
}

/// Listens on an address, for a runtime that starts later.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the address is taken.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    bound.map_err(|reason| Error::Listen { address, reason })
}

fn local(listener: &TcpListener) -> Result<SocketAddr> {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().map_err(|reason| Error::Listen {
        address: unknown,
        reason,
    })
}
