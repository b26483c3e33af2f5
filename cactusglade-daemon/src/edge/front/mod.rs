//! Service for callers: connections, requests, and the attempts to have upstreams answer them.
//!
//! Each module uses only those after it in this list: `connection`, `request`, `stream`, `plain`,
//! `exchange`, `sending`, `silence`, `entry`, `context`.

mod connection;
mod context;
mod entry;
mod exchange;
mod plain;
mod request;
mod sending;
mod silence;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::units::Millis;
use cactusglade_wire::port;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;

pub use context::Context;
pub use context::Phase;

/// Name of the service.
pub const NAME: &str = "front";
/// Maximum number of open connections of callers. Each needs a file descriptor, of which a host has
/// some thousands.
const MAX_CONNECTIONS: usize = 2_000;
/// While the daemon closes, it stops listening once no connection has arrived for this time, since
/// closing the listener resets those that wait to be accepted.
const QUIET_PERIOD: Duration = Duration::from_millis(100);
/// Longest time for which the daemon goes on listening while it closes.
const MAX_LISTENING: Duration = Duration::from_secs(1);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options<F> {
    /// Socket that callers connect to.
    pub listener: std::net::TcpListener,
    /// State shared by all requests.
    pub context: Arc<Context<F>>,
}

/// `Front` owns the listening task, and on shutdown waits until its connections have ended.
#[derive(Debug)]
pub struct Front<F> {
    connections: watch::Receiver<usize>,
    context: Arc<Context<F>>,
}

/// `Drain` waits until every connection has ended, for a limited time.
///
/// The reply is whether all connections have ended.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Time on the daemon's clock until which they may end.
    pub until: Millis,
}

impl<F: port::Codec> Actor for Front<F> {
    type Args = Options<F>;
    type Error = std::io::Error;

    async fn on_start(options: Options<F>, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (count, connections) = watch::channel(0);
        tokio::spawn(listen(listener, options.context.clone(), count));
        Ok(Self {
            connections,
            context: options.context,
        })
    }
}

impl<F: port::Codec> Message<Drain> for Front<F> {
    type Reply = bool;

    async fn handle(&mut self, drain: Drain, _: &mut kameo::message::Context<Self, bool>) -> bool {
        let finished = self.connections.wait_for(|count| *count == 0);
        // The listening task sets the count to 0 once it and all connections have ended.
        let clock = self.context.clock;
        let finished = clock.timeout_at(drain.until, finished).await;
        matches!(finished, Some(Ok(_)))
    }
}

/// Accepts connections until the phase is [`Phase::Closing`], then waits for those that are open.
async fn listen<F: port::Codec>(
    listener: TcpListener,
    context: Arc<Context<F>>,
    count: watch::Sender<usize>,
) {
    let mut connections = JoinSet::new();
    let mut phase = context.phase.clone();
    loop {
        tokio::select! {
            Ok(_) = phase.wait_for(|phase| *phase >= Phase::Closing) => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(connection::serve(socket, context.clone()));
                }
            }
        }
        count.send_replace(connections.len());
    }
    let until = Instant::now() + MAX_LISTENING;
    while Instant::now() < until
        && let Ok(accepted) = tokio::time::timeout(QUIET_PERIOD, listener.accept()).await
    {
        if let Ok((socket, _)) = accepted {
            connections.spawn(connection::serve(socket, context.clone()));
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {
        count.send_replace(connections.len());
    }
    count.send_replace(0);
}
