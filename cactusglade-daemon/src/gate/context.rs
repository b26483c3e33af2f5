//! What every request needs, and how far the reclaim of the daemon's own host is.

use std::sync::Arc;

use cactusglade_core::set::Set;
use cactusglade_core::settings::Limits;
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

/// `Leaving` says how far the reclaim of the daemon's own host is.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Leaving {
    /// The host stays.
    #[default]
    No,
    /// The cloud gave notice: peers get a copy of every chat.
    Noticed,
    /// The host is gone soon: chats end here and are resumed elsewhere.
    Soon,
}

/// `Context` is what every request needs; its parts are handles and settings.
#[derive(Debug)]
pub struct Context {
    /// Name of the daemon, the head of request ids.
    pub daemon: String,
    /// Bounds on what callers can make the daemon hold.
    pub limits: Limits,
    /// The set in force.
    pub sets: watch::Receiver<Arc<Set>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// Whether the daemon's host is taken back, and how far that is.
    pub leaving: watch::Receiver<Leaving>,
    /// The dispatch service.
    pub dispatch: ActorRef<Dispatch>,
    /// The peer service, which hands chats over.
    pub peer: ActorRef<Peer>,
    /// The service that keeps chats which were handed over to this daemon.
    pub relay: ActorRef<Relay>,
    /// The platform.
    pub platform: Platform,
    /// The rows of attempts.
    pub ledger: Ledger,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
    /// Counts the tasks of requests, which outlive their connections.
    pub requests: TaskTracker,
}

/// Waits until the host is gone soon.
pub async fn soon(leaving: &mut watch::Receiver<Leaving>) {
    let handed_over = !leaving.has_changed().unwrap_or(false) && *leaving.borrow() == Leaving::Soon;
    if handed_over
        || leaving
            .wait_for(|leaving| *leaving == Leaving::Soon)
            .await
            .is_err()
    {
        // It was tried already, or nobody will ever say so.
        std::future::pending::<()>().await;
    }
}
