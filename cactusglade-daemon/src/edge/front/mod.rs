//! The callers' side: connections, requests, and the sendings to upstreams that answer them.
//!
//! Each module knows only those below it: `connection`, `request`, `plain` and `stream`,
//! `exchange`, `sending`.

mod connection;
mod exchange;
mod plain;
mod request;
mod sending;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::catalog::Catalog;
use cactusglade_link::clock::Clock;
use cactusglade_wire::port;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::edge::broker::Broker;
use crate::metrics::Metrics;

/// Name of the service.
pub const NAME: &str = "front";
/// Connections of callers at once; each costs a descriptor, of which a host has some thousands.
const MAX_CONNECTIONS: usize = 2_000;

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

/// `Options` of the service.
#[derive(Debug)]
pub struct Options<F> {
    /// The socket that callers connect to.
    pub listener: std::net::TcpListener,
    /// What requests are answered with.
    pub context: Arc<Context<F>>,
}

/// `Front` owns the listening task and waits for its connections when the daemon stops.
#[derive(Debug)]
pub struct Front<F> {
    connections: watch::Receiver<usize>,
    _context: Arc<Context<F>>,
}

/// `Finish` waits until every connection has ended, for at most this time.
#[derive(Clone, Copy, Debug)]
pub struct Finish(pub Duration);

impl<F: port::Front> Actor for Front<F> {
    type Args = Options<F>;
    type Error = std::io::Error;

    async fn on_start(options: Options<F>, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (count, connections) = watch::channel(0);
        tokio::spawn(listen(listener, options.context.clone(), count));
        Ok(Self {
            connections,
            _context: options.context,
        })
    }
}

impl<F: port::Front> Message<Finish> for Front<F> {
    type Reply = bool;

    async fn handle(
        &mut self,
        finish: Finish,
        _: &mut kameo::message::Context<Self, bool>,
    ) -> bool {
        let finished = self.connections.wait_for(|count| *count == 0);
        // The listening task drops its sender when it has ended, and all connections with it.
        tokio::time::timeout(finish.0, finished).await.is_ok()
    }
}

async fn listen<F: port::Front>(
    listener: TcpListener,
    context: Arc<Context<F>>,
    count: watch::Sender<usize>,
) {
    let mut connections = JoinSet::new();
    let mut phase = context.phase.clone();
    loop {
        tokio::select! {
            Ok(_) = phase.wait_for(|phase| *phase == Phase::Closing) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(connection::serve(socket, context.clone()));
                }
            }
        }
        count.send_replace(connections.len());
    }
    drop(listener);
    while connections.join_next().await.is_some() {
        count.send_replace(connections.len());
    }
    count.send_replace(0);
}
