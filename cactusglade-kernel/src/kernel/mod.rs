//! Starts, supervises and stops services.

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Spawn;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::name::Name;

/// Error of the kernel.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A service failed while it started.
    #[error("service {name} did not start: {reason}")]
    Start {
        /// Name of the service.
        name: String,
        /// What the service said.
        reason: String,
    },
    /// No service of this name and type runs.
    #[error("there is no service {0}")]
    Missing(String),
}

/// Result of the kernel.
pub type Result<T> = std::result::Result<T, Error>;

/// `Fault` reports a service that ended although nobody stopped it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Name of the service.
    pub service: &'static str,
}

struct Running {
    service: &'static str,
    stop: mpsc::Sender<()>,
    task: JoinHandle<()>,
}

/// `Kernel` holds the services of one daemon in the order in which they started.
///
/// A service that ends unasked is reported as a [`Fault`] and not restarted: the others hold
/// handles to it and requests in flight rest on its state, so the daemon drains and exits, and the
/// platform starts a fresh one. See `docs/DESIGN.md`.
pub struct Kernel {
    daemon: String,
    log: Logger,
    running: Vec<Running>,
    faults: mpsc::UnboundedSender<Fault>,
}

impl Kernel {
    /// Makes an empty kernel for a daemon, and the receiver of its faults.
    #[must_use]
    pub fn new(daemon: &str, log: Logger) -> (Self, mpsc::UnboundedReceiver<Fault>) {
        let (faults, receiver) = mpsc::unbounded_channel();
        (
            Self {
                daemon: daemon.to_owned(),
                log,
                running: Vec::new(),
                faults,
            },
            receiver,
        )
    }

    /// Starts a service and enters its name; waits until it is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] when the service fails to start or its name is taken.
    pub async fn start<A: Actor + Spawn>(
        &mut self,
        service: &'static str,
        args: A::Args,
    ) -> Result<ActorRef<A>> {
        let name = Name {
            daemon: &self.daemon,
            service,
        }
        .to_string();
        let failed = |reason: String| Error::Start {
            name: name.clone(),
            reason,
        };
        let actor = A::spawn(args);
        actor
            .wait_for_startup_with_result(|result| result.map_err(|error| format!("{error:?}")))
            .await
            .map_err(failed)?;
        actor
            .register(name.clone())
            .map_err(|error| failed(error.to_string()))?;
        let (stop, stopped) = mpsc::channel(1);
        let task = tokio::spawn(supervise(
            actor.clone(),
            service,
            stopped,
            self.faults.clone(),
        ));
        self.running.push(Running {
            service,
            stop,
            task,
        });
        info!(self.log, "service_started"; "service" => service);
        Ok(actor)
    }

    /// Finds a service of this daemon by name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] when no service of this name and type runs.
    pub fn find<A: Actor>(&self, service: &'static str) -> Result<ActorRef<A>> {
        find(&self.daemon, service)
    }

    /// Stops all services in reverse order of their start.
    pub async fn stop(mut self) {
        while let Some(running) = self.running.pop() {
            drop(running.stop);
            if running.task.await.is_err() {
                warn!(self.log, "service_panicked"; "service" => running.service);
            }
            info!(self.log, "service_stopped"; "service" => running.service);
        }
    }
}

/// Finds a service of a daemon by name, for services that resolve their handles as they start.
///
/// # Errors
///
/// Returns [`Error::Missing`] when no service of this name and type runs.
pub fn find<A: Actor>(daemon: &str, service: &'static str) -> Result<ActorRef<A>> {
    let name = Name { daemon, service }.to_string();
    ActorRef::lookup(name.as_str())
        .ok()
        .flatten()
        .ok_or(Error::Missing(name))
}

/// Watches one service: a closed channel stops it, and its unasked end is a fault.
async fn supervise<A: Actor>(
    actor: ActorRef<A>,
    service: &'static str,
    mut stopped: mpsc::Receiver<()>,
    faults: mpsc::UnboundedSender<Fault>,
) {
    tokio::select! {
        _ = stopped.recv() => {
            // A service that has already ended has nothing left to stop.
            let _ = actor.stop_gracefully().await;
            actor.wait_for_shutdown().await;
        }
        () = actor.wait_for_shutdown() => {
            // The daemon may have stopped listening because it is ending itself.
            let _ = faults.send(Fault { service });
        }
    }
}
