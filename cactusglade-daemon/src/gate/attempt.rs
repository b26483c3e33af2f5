//! One attempt at an upstream: sends the request and waits for the response head.

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

use crate::dispatch::Assignment;
use crate::gate::context::Context;
use crate::gate::inbound::Inbound;
use cactusglade_link::link;
use cactusglade_link::link::Connection;

/// Timeout for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// `Error` is the failure of an attempt, by whether the request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The request did not run.
    #[error("the request was not sent, or the upstream refused it without running it")]
    Refused,
    /// No complete response arrived; the request may have run.
    #[error("the response is missing or incomplete; the request may have run")]
    Lost,
    /// The response belongs to another attempt; the request may have run.
    #[error("the response carries the id of another attempt; the request may have run")]
    Mismatch,
}

/// `Result` is the result of an attempt.
pub type Result<T> = std::result::Result<T, Error>;

/// `Call` holds the parts of the HTTP request that an attempt sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method, such as `POST`.
    pub method: String,
    /// Path and query of the request target.
    pub path: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
    /// Id of the attempt, unique over all daemons; the upstream must return it.
    pub attempt: String,
}

/// `Received` is an HTTP exchange whose response head has arrived.
#[derive(Debug)]
pub struct Received {
    /// The response, with its body still to be read.
    pub response: Response<Incoming>,
    /// The connection, which can be reused once the body has been read to its end.
    pub connection: Connection,
}

/// `Transport` sends the call of one attempt to its upstream.
pub struct Transport {
    context: Arc<Context>,
    request: String,
    organisation: String,
    idempotency_key: Option<String>,
    address: SocketAddr,
    idle: Option<Connection>,
}

impl Transport {
    /// Copies what an attempt needs, so that it does not borrow the request.
    ///
    /// Takes the idle connection out of `assignment`, if there is one.
    pub fn new(inbound: &Inbound, assignment: &mut Assignment) -> Self {
        Self {
            context: inbound.context.clone(),
            request: inbound.id.clone(),
            organisation: inbound.organisation_name().to_owned(),
            idempotency_key: inbound.idempotency_key.clone(),
            address: assignment.address,
            idle: assignment.connection.take(),
        }
    }

    /// Sends a call and checks that the response carries the attempt's id.
    ///
    /// With `fresh` a new connection is opened, since the upstream may be closing an idle one at
    /// this moment, which would leave it unknown whether the call ran.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] if the call certainly did not run, [`Error::Mismatch`] if the
    /// response belongs to another attempt, and [`Error::Lost`] if no response arrived although the
    /// call may have been sent.
    pub async fn send(self, call: &Call, fresh: bool) -> Result<Received> {
        let request = self.request(call)?;
        let mut connection = if let Some(connection) = self.idle.filter(|_| !fresh) {
            connection
        } else {
            let connection = Connection::try_new(self.address, CONNECT_TIMEOUT).await;
            connection.map_err(|_| Error::Refused)?
        };
        let response = connection
            .send(request)
            .await
            .map_err(|error| match error {
                link::Error::NotSent => Error::Refused,
                link::Error::Lost | link::Error::Flooded | link::Error::Timeout => Error::Lost,
            })?;
        let header_text = |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok());
        if header_text(header::ATTEMPT) != Some(call.attempt.as_str()) {
            self.context.metrics.mismatches.inc();
            return Err(Error::Mismatch);
        }
        if response.status() == StatusCode::SERVICE_UNAVAILABLE
            && header_text(header::RAN) == Some("no")
        {
            return Err(Error::Refused);
        }
        Ok(Received {
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
        // If the request can't be built, nothing has been sent.
        builder
            .body(Full::new(call.body.clone()))
            .map_err(|_| Error::Refused)
    }
}
