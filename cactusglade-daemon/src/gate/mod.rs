//! The callers' side: one task owns the listening socket, one each connection, one each request.

pub(crate) mod answer;
mod attempt;
pub(crate) mod chat;
mod connection;
mod plain;
pub(crate) mod request;
mod resume;
pub(crate) mod work;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::set::Set;
use cactusglade_core::settings::Limits;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Message;
use kameo::reply::DelegatedReply;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::dispatch::Dispatch;
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peer::Peer;
use crate::platform::Platform;
use crate::relay::Relay;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "gate";

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
