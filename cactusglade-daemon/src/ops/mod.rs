//! The operators' HTTP interface: liveness, readiness, metrics and status.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::set::Set;
use cactusglade_core::units::Generation;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
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
use crate::dispatch;
use crate::dispatch::Dispatch;
use crate::metrics::Metrics;
use crate::peer;
use crate::peer::Peer;
use crate::poll;
use crate::poll::Poll;

/// Name of the service.
pub const NAME: &str = "ops";
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of open connections of operators.
const MAX_CONNECTIONS: usize = 64;

/// `Context` holds the sources of the answers.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of the daemon.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// The active object set.
    pub sets: watch::Receiver<Arc<Set>>,
    /// Whether the daemon is draining.
    pub draining: watch::Receiver<bool>,
    /// The dispatch service.
    pub dispatch: ActorRef<Dispatch>,
    /// The peer service.
    pub peer: ActorRef<Peer>,
    /// The poll service.
    pub poll: ActorRef<Poll>,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Options` holds the dependencies of the service.
#[derive(Debug)]
pub struct Options {
    /// Listening socket for operators.
    pub listener: std::net::TcpListener,
    /// The sources of the answers.
    pub context: Context,
}

/// `Ops` owns the stop channel of the listening task, which ends when `Ops` is dropped.
#[derive(Debug)]
pub struct Ops {
    _stop: oneshot::Sender<()>,
}

impl Actor for Ops {
    type Args = Options;
    type Error = std::io::Error;

    async fn on_start(options: Options, _: ActorRef<Self>) -> Result<Self, std::io::Error> {
        let listener = TcpListener::from_std(options.listener)?;
        let (stop, stopped) = oneshot::channel();
        let context = options.context;
        let serve = move |socket| serve(socket, context.clone());
        tokio::spawn(accept::run(listener, MAX_CONNECTIONS, stopped, serve));
        Ok(Self { _stop: stop })
    }
}

async fn serve(socket: TcpStream, context: Context) {
    let service = service_fn(move |request: Request<Incoming>| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(context.answer(request.uri().path()).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(accept::MAX_HEAD_BYTES);
    // Errors of a connection concern only the operator's client, which sees them itself.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

impl Context {
    async fn answer(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/live" => text(200, "live\n"),
            "/ready" => self.ready(),
            "/metrics" => text(200, self.metrics.text().unwrap_or_default()),
            "/status" => self.status().await,
            _ => text(404, "there are /live, /ready, /metrics and /status\n"),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if *self.draining.borrow() {
            text(503, "draining\n")
        } else if self.sets.borrow().generation == Generation(0) {
            text(503, "no object set is in force\n")
        } else {
            text(200, "ready\n")
        }
    }

    async fn status(&self) -> Response<Full<Bytes>> {
        let peer::Listing { rows, alive } = self.peer.ask(peer::List).await.unwrap_or_default();
        let age = self.poll.ask(poll::AnswerAge).await.ok().flatten();
        let summary = self
            .dispatch
            .ask(dispatch::Summarise)
            .await
            .unwrap_or_default();
        let status = serde_json::json!({
            "daemon": self.name,
            "zone": self.zone,
            "generation": self.sets.borrow().generation,
            "platform_answered_ms_ago": age,
            "waiting": summary.waiting,
            "open": summary.open,
            "admitted": summary.counters.admitted,
            "refused": summary.counters.refused,
            "retried": summary.counters.retried,
            "moved": summary.counters.moved,
            "granted_leaving": summary.counters.granted_leaving,
            "alive": alive,
            "daemons": select_rows(&rows, |key, value| match (key, value) {
                (Key::Daemon(name), Value::Daemon(daemon)) => {
                    Some((name.clone(), serde_json::to_value(daemon).ok()?))
                }
                _ => None,
            }),
            "leaving": select_rows(&rows, |key, value| match (key, value) {
                (Key::Leaving(name, incarnation), Value::Leaving(gone)) => {
                    Some((format!("{name}/{incarnation}"), serde_json::json!(gone)))
                }
                _ => None,
            }),
            "rollouts": select_rows(&rows, |key, value| match (key, value) {
                (Key::Move(name, deadline), Value::Move(row)) => {
                    Some((format!("{name}/{}", deadline.0), serde_json::to_value(row).ok()?))
                }
                _ => None,
            }),
            "vetoes": select_rows(&rows, |key, value| match (key, value) {
                (Key::Veto(name, deadline), Value::Veto(reason)) => {
                    Some((format!("{name}/{}", deadline.0), serde_json::json!(reason)))
                }
                _ => None,
            }),
        });
        let mut response = text(200, status.to_string());
        let json = hyper::header::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, json);
        response
    }
}

fn select_rows(
    rows: &[(Key, Value)],
    pick: impl Fn(&Key, &Value) -> Option<(String, serde_json::Value)>,
) -> serde_json::Map<String, serde_json::Value> {
    rows.iter()
        .filter_map(|(key, value)| pick(key, value))
        .collect()
}

fn text(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
