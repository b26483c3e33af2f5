//! Answers the balancer, which asks whether the daemon takes new connections, and the operators,
//! who ask for metrics.

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

use crate::accept;
use crate::metrics::Metrics;

/// Name of the service that the balancer asks.
pub const READY: &str = "ready";
/// Name of the service that the operators ask.
pub const OPERATORS: &str = "operators";
/// Path of the metrics; any other asks whether the daemon is ready.
const METRICS: &str = "/metrics";
/// Longest time to send the head of a question; the balancer asks once a second.
const HEADER: Duration = Duration::from_secs(5);
/// Connections at once; the balancer and some operators need few.
const MAX_CONNECTIONS: usize = 64;

/// `State` is what the answers rest on.
#[derive(Clone, Debug)]
pub struct State {
    /// The catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

impl State {
    /// Whether the daemon serves callers; without the store it does, by what it knows.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.catalogs.borrow().version > 0
    }

    fn answer(&self, path: &str) -> Response<Full<Bytes>> {
        if path == METRICS {
            return match self.metrics.text() {
                Ok(text) => Response::new(Full::new(text.into())),
                Err(reason) => status(StatusCode::INTERNAL_SERVER_ERROR, &reason.to_string()),
            };
        }
        if self.is_ready() {
            status(StatusCode::OK, "ready\n")
        } else {
            status(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// The socket to listen on.
    pub listener: std::net::TcpListener,
    /// What the answers rest on.
    pub state: State,
}

/// `Probe` owns the listening task through a channel.
#[derive(Debug)]
pub struct Probe {
    _stop: oneshot::Sender<()>,
}

impl Actor for Probe {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (stop, stopped) = oneshot::channel();
        let state = options.state;
        let serve = move |socket| serve(socket, state.clone());
        tokio::spawn(accept::run(listener, MAX_CONNECTIONS, stopped, serve));
        Ok(Self { _stop: stop })
    }
}

async fn serve(socket: TcpStream, state: State) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = state.answer(request.uri().path());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER);
    // A connection that breaks is the asker's to notice.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

fn status(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
