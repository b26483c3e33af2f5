//! What requests are answered with, and how far the daemon has shut down.

use std::sync::Arc;

use cactusglade_core::catalog::Catalog;
use cactusglade_link::clock::Clock;
use kameo::actor::ActorRef;
use slog::Logger;
use tokio::sync::watch;

use crate::edge::broker::Broker;
use crate::metrics::Metrics;

/// `Phase` is how far the daemon has shut down.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It still accepts, until the balancer has noticed that it is not ready.
    Draining,
    /// It finishes what it has and takes nothing more.
    Closing,
}

/// `Context` is what requests are answered with.
#[derive(Clone, Debug)]
pub struct Context<F> {
    /// Encoding of requests and answers.
    pub front: F,
    /// The broker.
    pub broker: ActorRef<Broker>,
    /// The catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// How far the daemon has shut down.
    pub phase: watch::Receiver<Phase>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}
