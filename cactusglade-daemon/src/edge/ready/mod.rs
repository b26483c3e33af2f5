//! Answers the balancer's question whether the daemon takes new connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::catalog::Catalog;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use kameo::Actor;
use kameo::actor::ActorRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Name of the service.
pub const NAME: &str = "ready";
/// Longest time to send the head of a question; the balancer asks once a second.
const HEADER: Duration = Duration::from_secs(5);

/// `State` is what readiness rests on.
#[derive(Clone, Debug)]
pub struct State {
    /// The catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
}

impl State {
    /// Whether the daemon serves callers; without the store it does, by what it knows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.catalogs.borrow().version > 0
    }
}

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// The socket that the balancer connects to.
    pub listener: std::net::TcpListener,
    /// What readiness rests on.
    pub state: State,
}

/// `Ready` owns the listening task through a channel.
#[derive(Debug)]
pub struct Ready {
    _stop: oneshot::Sender<()>,
}

impl Actor for Ready {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (stop, stopped) = oneshot::channel();
        tokio::spawn(listen(listener, options.state, stopped));
        Ok(Self { _stop: stop })
    }
}

async fn listen(listener: TcpListener, state: State, mut stopped: oneshot::Receiver<()>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(serve(socket, state.clone()));
                }
            }
        }
    }
}

async fn serve(socket: TcpStream, state: State) {
    let service = service_fn(move |_: Request<Incoming>| {
        let mut response = Response::new(Full::<Bytes>::default());
        if !state.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER);
    // A connection that breaks is the balancer's to notice.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}
