//! Handles and settings that request tasks share, and the reclaim stage of the daemon's own host.

use std::sync::Arc;

use cactusglade_core::set::Set;
use cactusglade_core::settings::Limits;
use cactusglade_link::body::Budget;
use cactusglade_link::clock::Clock;
use kameo::actor::ActorRef;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::dispatch::Dispatch;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peer::Peer;
use crate::platform::Platform;
use crate::relay::Relay;

/// `Reclaim` is the stage of the cloud's reclaim of the daemon's own host.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Reclaim {
    /// No reclaim has been announced.
    #[default]
    Unannounced,
    /// The cloud has announced the reclaim: every chat is copied to peers.
    Noticed,
    /// The host is about to be reclaimed: chats end here and are resumed at another daemon.
    Imminent,
}

/// `Context` holds the handles and settings that request tasks share.
#[derive(Debug)]
pub struct Context {
    /// Name of the daemon; request ids start with it.
    pub daemon: String,
    /// Limits on connections, sizes and times of callers' requests.
    pub limits: Limits,
    /// The object set in force.
    pub sets: watch::Receiver<Arc<Set>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// The reclaim stage of the daemon's own host.
    pub reclaim: watch::Receiver<Reclaim>,
    /// The dispatch service, which admits requests and assigns upstreams.
    pub dispatch: ActorRef<Dispatch>,
    /// The peer service, which hands chats over to peers and finds them there.
    pub peer: ActorRef<Peer>,
    /// The relay service, which keeps the chats that peers handed over to this daemon.
    pub relay: ActorRef<Relay>,
    /// Client of the platform's table and object store.
    pub platform: Platform,
    /// Handle to the rows of attempts, by idempotency key.
    pub ledger: Ledger,
    /// The daemon's monotonic clock.
    pub clock: Clock,
    /// Memory for the bodies of requests.
    pub bodies: Budget,
    /// Memory for answers of plain services.
    pub answers: Budget,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// Tracks the request tasks, which can outlive their connections.
    pub requests: TaskTracker,
}

/// Waits until the host is about to be reclaimed.
///
/// Never returns if that stage has already been seen on this receiver, since the handover has then
/// been tried, or if the sender is gone.
pub async fn reclaim_imminent(reclaim: &mut watch::Receiver<Reclaim>) {
    let already_seen =
        !reclaim.has_changed().unwrap_or(false) && *reclaim.borrow() == Reclaim::Imminent;
    if already_seen
        || reclaim
            .wait_for(|reclaim| *reclaim == Reclaim::Imminent)
            .await
            .is_err()
    {
        std::future::pending::<()>().await;
    }
}
