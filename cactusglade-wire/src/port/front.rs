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

/// `Onward` is what a daemon adds to a request that it sends to an upstream.
#[derive(Clone, Debug)]
pub struct Onward<'a> {
    /// Name of the upstream that is meant; any other must refuse.
    pub upstream: &'a str,
    /// Name of the organisation, where the request has one.
    pub organisation: Option<&'a str>,
    /// Time after which no answer helps any more.
    pub left: Millis,
    /// Number of the last event that the caller has, where it has any.
    pub last_event: Option<u64>,
    /// Rank of the request among those of the upstream, where it is set; 0 goes first.
    pub rank: Option<u64>,
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
    pub is_unrun: bool,
    /// Whether another upstream has the address.
    pub is_misdirected: bool,
    /// Load of the upstream, where it says.
    pub load: Option<Load>,
    /// Time for which it keeps the idle connection, where it says.
    pub idle: Option<Millis>,
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

/// `Front` decodes and encodes heads; bodies pass as they are.
pub trait Front: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that decisions need can't be read.
    fn call(&self, head: &request::Parts) -> Result<Call, Decode>;

    /// The headers of the request that goes to an upstream.
    fn onward(&self, head: &request::Parts, onward: &Onward<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn reply(&self, head: &response::Parts) -> Reply;

    /// The headers of an upstream's answer that go to the caller.
    fn relay(&self, head: &response::Parts) -> HeaderMap;

    /// An answer of the daemon's own.
    fn refuse(&self, refusal: &Refusal<'_>) -> Response<Bytes>;
}
