//! Hands the configuration in force to other daemons, and fetches theirs.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::catalog::Draft;
use cactusglade_link::link;
use cactusglade_link::link::Client;
use cactusglade_policy::lag::Notice;
use cactusglade_wire::configuration;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::accept;

/// Timeout of fetching a configuration: other daemons are some milliseconds away, and the largest
/// configuration has about a hundred kilobytes.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of receiving the head of a request. Daemons send theirs right after connecting.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);
const OK: u16 = 200;

/// Error of fetching a configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon could not be reached or did not answer.
    #[error(transparent)]
    Link(#[from] link::Error),
    /// The daemon has no configuration.
    #[error("answered with status {0}, expected {OK}")]
    Status(u16),
    /// The answer is no configuration, or one that lacks fields.
    #[error("unusable configuration: {0}")]
    Unusable(#[from] configuration::Error),
    /// The daemon has an older configuration than it was said to have.
    #[error("has version {found}, expected {expected} or a newer one")]
    Outdated {
        /// Version of the answer.
        found: u64,
        /// Version that was stated.
        expected: u64,
    },
}

impl Error {
    /// Returns whether the daemon is of an earlier build, which does not know all fields.
    pub const fn is_partial(&self) -> bool {
        matches!(self, Self::Unusable(configuration::Error::Partial(_)))
    }
}

/// Result of fetching a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Serves the configuration in force on one connection of another daemon.
pub async fn serve(socket: TcpStream, in_force: watch::Receiver<Option<Arc<Draft>>>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let draft = in_force.borrow().clone();
        let response = answer(request.uri().path(), draft.as_deref());
        async move { Ok::<_, Infallible>(response) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(accept::MAX_HEAD_BYTES);
    // The other daemon notices a broken connection itself, and asks again.
    let _ = builder
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

fn answer(path: &str, draft: Option<&Draft>) -> Response<Full<Bytes>> {
    let encoded = draft
        .filter(|_| path == configuration::PATH)
        .map(configuration::encode);
    let (status, body) = match encoded {
        Some(Ok(body)) => (StatusCode::OK, body),
        Some(Err(reason)) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            reason.to_string().into_bytes(),
        ),
        None => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Fetches the configuration that another daemon has in force.
///
/// # Errors
///
/// Fails where that daemon does not answer in time, or has not the version that was stated.
pub async fn fetch(notice: Notice) -> Result<Draft> {
    let client = Client::new(notice.holder, FETCH_TIMEOUT);
    let answer = client
        .call("GET", configuration::PATH, Bytes::new())
        .await?;
    if answer.status != OK {
        return Err(Error::Status(answer.status));
    }
    let draft = configuration::decode(&answer.body)?;
    if draft.version < notice.version {
        return Err(Error::Outdated {
            found: draft.version,
            expected: notice.version,
        });
    }
    Ok(draft)
}
