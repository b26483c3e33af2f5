//! Service that answers the balancer's readiness checks and the operators' requests for metrics and
//! explanations.

mod explain;

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
use crate::edge::broker::Broker;
use crate::metrics::Metrics;

/// Name of the service for the balancer.
pub const READY: &str = "ready";
/// Name of the service for the operators.
pub const OPERATORS: &str = "operators";
/// Path of the metrics. A request for any other path is a readiness check.
const METRICS_PATH: &str = "/metrics";
/// Timeout of receiving the head of a request. The balancer sends a request once a second.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections; the balancer and some operators need few.
const MAX_CONNECTIONS: usize = 64;

/// `State` is the state of the daemon that the answers depend on.
#[derive(Clone, Debug)]
pub struct State {
    /// Catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// Whether the daemon is shutting down.
    pub draining: watch::Receiver<bool>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Broker that explains its choices, on the operators' address only.
    pub broker: Option<ActorRef<Broker>>,
}

impl State {
    /// Whether the daemon serves callers. An unreachable store doesn't change that, since the
    /// daemon goes on with the state that it has.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.catalogs.borrow().version > 0
    }

    async fn answer(&self, path: &str, query: &str) -> Response<Full<Bytes>> {
        if let Some(broker) = self.broker.as_ref().filter(|_| path == explain::PATH) {
            return explain::answer(broker, query).await;
        }
        if path == METRICS_PATH {
            return match self.metrics.text() {
                Ok(text) => Response::new(Full::new(text.into())),
                Err(reason) => reply(StatusCode::INTERNAL_SERVER_ERROR, &reason.to_string()),
            };
        }
        if self.is_ready() {
            reply(StatusCode::OK, "ready\n")
        } else {
            reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Socket that clients connect to.
    pub listener: std::net::TcpListener,
    /// State of the daemon that the answers depend on.
    pub state: State,
}

/// `Probe` owns the listening task, which ends when the channel to it is dropped.
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
        let state = state.clone();
        async move {
            let uri = request.uri();
            let response = state.answer(uri.path(), uri.query().unwrap_or_default());
            Ok::<_, Infallible>(response.await)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(accept::MAX_HEAD_BYTES);
    // The client notices a broken connection itself.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

/// Returns an answer with this status and text.
fn reply(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
