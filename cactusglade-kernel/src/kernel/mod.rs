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
    /// A service failed to start.
    #[error("service {name} did not start: {reason}")]
    Start {
        /// Name of the service.
        name: String,
        /// Reason that the service gave.
        reason: String,
    },
    /// No service of this name and type is running.
    #[error("service {0} is not running, or is of another type")]
    Missing(String),
}

/// Result of the kernel.
pub type Result<T> = std::result::Result<T, Error>;

/// `Fault` reports a service that ended without being stopped.
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
/// A service that ends without being stopped is reported as a [`Fault`] and not restarted: other
/// services have handles to it and open requests depend on its state. The daemon drains and exits
/// instead, and the platform starts a new one. See `docs/DESIGN.md`.
pub struct Kernel {
    daemon: String,
    log: Logger,
    running: Vec<Running>,
    faults: mpsc::UnboundedSender<Fault>,
}

impl Kernel {
    /// Makes a kernel without services for a daemon, and the receiver of its faults.
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

    /// Starts a service, waits until it is ready and registers its name.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the service fails to start or its name is already registered.
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

    /// Returns the handle of a service of this daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Missing`] if no service of this name and type is running.
    pub fn find<A: Actor>(&self, service: &'static str) -> Result<ActorRef<A>> {
        find(&self.daemon, service)
    }

    /// Stops all services in the reverse of the order in which they started.
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

/// Returns the handle of a service of a daemon; services use it while they start.
///
/// # Errors
///
/// Returns [`Error::Missing`] if no service of this name and type is running.
pub fn find<A: Actor>(daemon: &str, service: &'static str) -> Result<ActorRef<A>> {
    let name = Name { daemon, service }.to_string();
    ActorRef::lookup(name.as_str())
        .ok()
        .flatten()
        .ok_or(Error::Missing(name))
}

/// Supervises one service: stops it once the channel is closed, and reports its end before that as
/// a fault.
async fn supervise<A: Actor>(
    actor: ActorRef<A>,
    service: &'static str,
    mut stopped: mpsc::Receiver<()>,
    faults: mpsc::UnboundedSender<Fault>,
) {
    tokio::select! {
        _ = stopped.recv() => {
            // Fails only if the service has already ended.
            let _ = actor.stop_gracefully().await;
            actor.wait_for_shutdown().await;
        }
        () = actor.wait_for_shutdown() => {
            // Fails only if the daemon is exiting and no longer receives faults.
            let _ = faults.send(Fault { service });
        }
    }
}
