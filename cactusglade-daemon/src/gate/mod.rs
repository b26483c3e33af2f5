//! The callers' side: one task owns the listening socket, one each connection, one each request.

pub(crate) mod answer;
mod attempt;
pub(crate) mod chat;
mod connection;
mod context;
pub(crate) mod entry;
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
pub use context::Leaving;

/// Name of the service.
pub const NAME: &str = "gate";

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// The socket that callers connect to.
    pub listener: std::net::TcpListener,
    /// What every request needs.
    pub context: Arc<Context>,
}

/// `Gate` owns the listening task through a channel.
#[derive(Debug)]
pub struct Gate {
    context: Arc<Context>,
    /// Held open while callers are accepted; closing it drains the connections.
    accepting: Option<watch::Sender<()>>,
    /// Closed by the listening task when the last connection has ended.
    ended: Option<mpsc::Receiver<Infallible>>,
}

/// `Drain` stops accepting and is answered once every request has ended or time is up.
#[derive(Clone, Copy, Debug)]
pub struct Drain(pub Duration);

impl Actor for Gate {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (accepting, closing) = watch::channel(());
        let (end, ended) = mpsc::channel(1);
        let context = options.context;
        tokio::spawn(connection::listen(listener, context.clone(), closing, end));
        Ok(Self {
            context,
            accepting: Some(accepting),
            ended: Some(ended),
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
        drop(self.accepting.take());
        let ended = self.ended.take();
        let requests = self.context.requests.clone();
        context.spawn(async move {
            let all = async {
                if let Some(mut ended) = ended {
                    // Nothing is ever sent; the end of the channel is the message.
                    let _ = ended.recv().await;
                }
                requests.close();
                requests.wait().await;
            };
            tokio::time::timeout(drain.0, all).await.is_ok()
        })
    }
}
