//! One attempt at an upstream: the request goes out, the head of an answer comes back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_wire::header;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::dispatch::Start;
use crate::gate::context::Context;
use crate::gate::entry::Entry;
use cactusglade_link::link;
use cactusglade_link::link::Connection;

/// Longest wait for a connection to an upstream.
const CONNECT: Duration = Duration::from_secs(1);

/// Error of an attempt, by what it proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It is proved that the request did not run.
    #[error("the upstream did not take the request")]
    Refused,
    /// The upstream was lost; the request may have run.
    #[error("the upstream was lost")]
    Lost,
    /// The answer was another attempt's; the request may have run.
    #[error("the answer belongs to another attempt")]
    Mismatch,
}

/// Result of an attempt.
pub type Result<T> = std::result::Result<T, Error>;

/// `Call` is what an attempt sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Names the attempt.
    pub attempt: String,
}

/// `Reached` is an upstream that has begun to answer.
#[derive(Debug)]
pub struct Reached {
    /// The head of the answer, with the body to read.
    pub response: Response<Incoming>,
    /// The connection, good for another request once the body is read.
    pub connection: Connection,
}

/// `Link` is the way of one attempt to its upstream.
pub struct Link {
    context: Arc<Context>,
    request: String,
    organisation: String,
    idempotency_key: Option<String>,
    address: SocketAddr,
    kept: Option<Connection>,
}

impl Link {
    /// Takes what an attempt needs, so that it does not hold on to the request.
    pub fn new(entry: &Entry, start: &mut Start) -> Self {
        Self {
            context: entry.context.clone(),
            request: entry.id.clone(),
            organisation: entry.organisation_name().to_owned(),
            idempotency_key: entry.idempotency_key.clone(),
            address: start.address,
            kept: start.connection.take(),
        }
    }

    /// Sends a call and checks that the answer is to this very attempt.
    ///
    /// `fresh` asks for a new connection, so that the upstream can't be closing it just then.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] only where it is proved that the call did not run.
    pub async fn send(self, call: &Call, fresh: bool) -> Result<Reached> {
        let request = self.request(call)?;
        let mut connection = if let Some(connection) = self.kept.filter(|_| !fresh) {
            connection
        } else {
            let connection = Connection::try_new(self.address, CONNECT).await;
            connection.map_err(|_| Error::Refused)?
        };
        let response = connection
            .send(request)
            .await
            .map_err(|error| match error {
                link::Error::NotSent => Error::Refused,
                link::Error::Lost | link::Error::Timeout => Error::Lost,
            })?;
        let word = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if word(header::ATTEMPT) != Some(call.attempt.as_str()) {
            self.context.metrics.mismatches.inc();
            return Err(Error::Mismatch);
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE && word(header::RAN) == Some("no") {
            return Err(Error::Refused);
        }
        Ok(Reached {
            response,
            connection,
        })
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(call.method.as_str())
            .uri(call.path.as_str())
            .header(hyper::header::HOST, self.address.to_string())
            .header(hyper::header::CONTENT_TYPE, call.content_type.as_str())
            .header(header::ATTEMPT, call.attempt.as_str())
            .header(header::REQUEST, self.request.as_str())
            .header(header::ORGANISATION, self.organisation.as_str());
        if let Some(key) = &self.idempotency_key {
            builder = builder.header(header::IDEMPOTENCY_KEY, key);
        }
        // Nothing was sent where not even the request can be made.
        builder
            .body(Full::new(call.body.clone()))
            .map_err(|_| Error::Refused)
    }
}
