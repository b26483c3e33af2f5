//! The encoding of callers' requests, and of what upstreams are sent and answer.

use bytes::Bytes;
use cactusglade_core::call::Call;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;

/// Error of decoding a request: what is wrong with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Decode(pub &'static str);

/// `Forwarding` is what a daemon adds to a request that it forwards to an upstream.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Name of the upstream that is meant; any other must refuse.
    pub upstream: &'a str,
    /// Name of the organisation, where the request has one.
    pub organisation: Option<&'a str>,
    /// Time that remains until the caller's deadline.
    pub remaining: Millis,
    /// Number of the last event that the caller has, where it has any.
    pub last_event: Option<u64>,
    /// Priority of the request at the upstream, where one is set; 0 is the highest.
    pub priority: Option<u64>,
}

/// `Load` is what an upstream says of its own load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that it works on.
    pub running: u64,
    /// Requests that wait in it.
    pub waiting: u64,
    /// Requests that it works on at once.
    pub slots: u64,
}

/// `Reply` is the head of an upstream's answer as decisions see it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Attempt that it answers, where it says.
    pub id: Option<String>,
    /// Whether it proves that the request did not run.
    pub is_not_executed: bool,
    /// Whether another upstream has the address.
    pub is_misdirected: bool,
    /// Load of the upstream, where it says.
    pub load: Option<Load>,
    /// Time for which the upstream keeps the idle connection open, where it says.
    pub keep_alive: Option<Millis>,
    /// Whether it closes the connection.
    pub closes: bool,
}

/// `Refusal` is an answer of the daemon's own.
#[derive(Clone, Debug)]
pub struct Refusal<'a> {
    /// Which error it is.
    pub kind: Kind,
    /// Attempt that it answers, where it is known.
    pub id: Option<&'a str>,
    /// Time after which the caller may come back, where it may.
    pub retry_after: Option<Millis>,
    /// Whether the connection closes after it.
    pub closes: bool,
}

/// `Codec` decodes and encodes the heads of requests and answers; bodies pass unchanged.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that decisions need can't be read.
    fn decode_call(&self, head: &request::Parts) -> Result<Call, Decode>;

    /// The headers of the request that goes to an upstream.
    fn request_headers(&self, head: &request::Parts, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn decode_reply(&self, head: &response::Parts) -> Reply;

    /// The headers of an upstream's answer that go to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// An answer of the daemon's own.
    fn encode_refusal(&self, refusal: &Refusal<'_>) -> Response<Bytes>;
}
