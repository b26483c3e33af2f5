//! State shared by all requests, and the phases of a shutdown.

use std::sync::Arc;

use cactusglade_core::catalog::Catalog;
use cactusglade_link::body::Budget;
use cactusglade_link::clock::Clock;
use kameo::actor::ActorRef;
use slog::Logger;
use tokio::sync::watch;

use crate::edge::broker::Broker;
use crate::metrics::Metrics;

/// `Phase` is the progress of the daemon's shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The daemon serves requests.
    Serving,
    /// The daemon reports that it is not ready, and still accepts connections until the balancer
    /// stops sending it any.
    Draining,
    /// The daemon finishes requests in progress and refuses new ones.
    Closing,
    /// The process ends in a moment: requests without an answer get one that says so.
    Ending,
}

/// `Context` is the state shared by all requests.
#[derive(Clone, Debug)]
pub struct Context<F> {
    /// Decoder and encoder of heads of requests and answers.
    pub codec: F,
    /// Broker, which chooses upstreams.
    pub broker: ActorRef<Broker>,
    /// Catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// Progress of the daemon's shutdown.
    pub phase: watch::Receiver<Phase>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Memory for the bodies of requests.
    pub requests: Budget,
    /// Memory for answers that are buffered.
    pub answers: Budget,
    /// Log of the daemon.
    pub log: Logger,
    /// Metrics of the daemon.
    pub metrics: Metrics,
}
