//! The HTTP/1.1 front end for callers.
//!
//! One task owns the listening socket and one task each connection. A chat runs in the task of its
//! connection, a request to a plain service in a task of its own.

pub(crate) mod answer;
mod attempt;
pub(crate) mod chat;
mod connection;
mod context;
pub(crate) mod inbound;
mod plain;
mod request;
mod resume;
pub(crate) mod work;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use kameo::reply::DelegatedReply;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;

pub use context::Context;
pub use context::Reclaim;

/// Name under which the kernel registers the service.
pub const NAME: &str = "gate";

/// `Options` holds the start-up options of the service.
#[derive(Debug)]
pub struct Options {
    /// The listening socket for callers.
    pub listener: std::net::TcpListener,
    /// The handles and settings that request tasks share.
    pub context: Arc<Context>,
}

/// `Gate` is the service that starts the listening task and drains it on request.
#[derive(Debug)]
pub struct Gate {
    context: Arc<Context>,
    /// Open while connections are accepted; dropping it stops accepting and drains them.
    shutdown: Option<watch::Sender<()>>,
    /// Closed by the listening task once the last connection has ended.
    done: Option<mpsc::Receiver<Infallible>>,
}

/// `Drain` stops accepting connections and waits up to this long for open requests to end.
///
/// The reply is `true` if every request ended within that time.
#[derive(Clone, Copy, Debug)]
pub struct Drain(pub Duration);

impl Actor for Gate {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (shutdown, shutting_down) = watch::channel(());
        let (done_guard, done) = mpsc::channel(1);
        let context = options.context;
        tokio::spawn(connection::listen(
            listener,
            context.clone(),
            shutting_down,
            done_guard,
        ));
        Ok(Self {
            context,
            shutdown: Some(shutdown),
            done: Some(done),
        })
    }
}

impl Message<Drain> for Gate {
    type Reply = DelegatedReply<bool>;

    async fn handle(
        &mut self,
        drain: Drain,
        context: &mut kameo::message::Context<Self, Self::Reply>,
    ) -> Self::Reply {
        drop(self.shutdown.take());
        let done = self.done.take();
        let requests = self.context.requests.clone();
        context.spawn(async move {
            let all_ended = async {
                if let Some(mut done) = done {
                    // The channel carries no messages; closing it signals the end.
                    let _ = done.recv().await;
                }
                requests.close();
                requests.wait().await;
            };
            tokio::time::timeout(drain.0, all_ended).await.is_ok()
        })
    }
}
