//! The encoding of requests and answers between callers, daemons and upstreams.

use bytes::Bytes;
use cactusglade_core::call::Call;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;

/// Error of decoding a request, with the reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0}")]
pub struct Decode(pub &'static str);

/// `Forwarding` is what a daemon adds to a request that it forwards to an upstream.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Name of the upstream that the request is for; any other must refuse it.
    pub upstream: &'a str,
    /// Name of the organisation, where the request has one.
    pub organisation: Option<&'a str>,
    /// Time that remains until the caller's deadline.
    pub remaining: Millis,
    /// Number of the last event that the caller has received, if any.
    pub last_event: Option<u64>,
    /// Priority of the request at the upstream, where one is set; 0 is the highest.
    pub priority: Option<u64>,
}

/// `Load` is the load that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Requests that the upstream is processing.
    pub running: u64,
    /// Requests that are waiting in the upstream.
    pub waiting: u64,
    /// Requests that the upstream can process at the same time.
    pub slots: u64,
    /// How long work takes there at this moment, in percent of the usual time, where it says so.
    pub pace: Option<u64>,
}

/// `Limit` is what an answer says of the requests that its upstream takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// It states no limit.
    #[default]
    None,
    /// It takes this many.
    Rate(Rate),
    /// It states a limit that can't be decoded, so that a known one neither changes nor ends.
    Unreadable,
}

/// `Rejection` says why an upstream did not run a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The upstream that the request was for refused it.
    Refused,
    /// The request reached another upstream than the one it was for.
    Misdirected,
}

/// `Reply` is the head of an upstream's answer, independent of its encoding.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Identifier of the attempt that it answers, if it has one.
    pub id: Option<String>,
    /// How the answer states that the request did not run, if it does.
    pub rejection: Option<Rejection>,
    /// Load of the upstream, if the answer reports it.
    pub load: Option<Load>,
    /// Limit of the requests that the upstream takes.
    pub limit: Limit,
    /// Time for which the upstream keeps an idle connection open, if the answer states it.
    pub keep_alive: Option<Millis>,
    /// Whether the upstream closes the connection after the answer.
    pub closes: bool,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Time for which an upstream that refused the request wants no further one from this daemon.
    pub retry_after: Option<Millis>,
}

/// `Refusal` is an error answer of the daemon itself.
#[derive(Clone, Debug)]
pub struct Refusal<'a> {
    /// Kind of the error.
    pub kind: Kind,
    /// Identifier of the attempt that it answers, if it is known.
    pub id: Option<&'a str>,
    /// Time after which the caller may retry, where a retry may help.
    pub retry_after: Option<Millis>,
    /// Whether the daemon closes the connection after the answer.
    pub closes: bool,
}

/// `Codec` decodes and encodes the heads of requests and answers; bodies pass unchanged.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`Decode`] if a required header is missing or malformed.
    fn decode_call(&self, head: &request::Parts) -> Result<Call, Decode>;

    /// Returns the headers of the request to the upstream.
    fn request_headers(&self, head: &request::Parts, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Decodes the head of an upstream's answer.
    fn decode_reply(&self, head: &response::Parts) -> Reply;

    /// Returns the fields that events of a stream may have beside the standard ones.
    fn event_fields(&self) -> &'static [&'static str] {
        &[]
    }

    /// Returns the headers of an upstream's answer that are passed to the caller.
    fn response_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Encodes an error answer of the daemon itself.
    fn encode_refusal(&self, refusal: &Refusal<'_>) -> Response<Bytes>;
}
