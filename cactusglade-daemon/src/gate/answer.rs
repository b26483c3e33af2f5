//! Builds the HTTP responses that callers get, including error responses.

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::row::Reply;
use cactusglade_wire::caller::Failure;
use cactusglade_wire::header;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::header::LOCATION;
use hyper::header::RETRY_AFTER;

/// Path prefix under which callers resume chats.
pub const RESUME_PREFIX: &str = "/resume/";
const MILLIS_PER_SECOND: u64 = 1_000;

/// `Buffered` is a response body that is complete when the response is sent.
pub type Buffered = Full<Bytes>;

/// `Body` is a response body, either complete or streamed.
pub type Body<S> = Either<Buffered, StreamBody<S>>;

/// Builds a response with a complete body.
///
/// A `status` that is no valid HTTP status code is replaced by 502.
pub fn buffered(
    status: u16,
    content_type: &str,
    body: impl Into<Bytes>,
    id: &str,
) -> Response<Buffered> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    set_header(&mut response, header::REQUEST, id);
    response
}

/// Builds a response whose body is a stream of server-sent events.
pub fn streamed<B>(body: B, id: &str, version: &str) -> Response<B> {
    let mut response = Response::new(body);
    set_header(&mut response, CONTENT_TYPE.as_str(), "text/event-stream");
    set_header(&mut response, header::REQUEST, id);
    set_header(&mut response, header::VERSION, version);
    set_header(&mut response, header::RESUME, &resume_path(id));
    response
}

/// Returns the path at which any daemon resumes the chat.
pub fn resume_path(id: &str) -> String {
    format!("{RESUME_PREFIX}{id}")
}

/// Builds the redirect (303) that sends a caller to another daemon to resume the chat.
pub fn redirect_to_resume(id: &str) -> Response<Buffered> {
    let mut response = buffered(303, "application/json", "{}", id);
    set_header(&mut response, LOCATION.as_str(), &resume_path(id));
    close_connection(response)
}

/// Builds the response that carries the reply of a plain service.
pub fn reply(reply: Reply, id: &str) -> Response<Buffered> {
    buffered(reply.status, &reply.content_type, reply.body, id)
}

/// Builds the error response for an error kind.
pub fn failure(kind: Kind, message: &str, id: &str) -> Response<Buffered> {
    let answer = kind.answer();
    let body = Failure::new(kind, message, id).body();
    let mut response = buffered(answer.status, "application/json", body, id);
    set_header(&mut response, header::RAN, answer.ran.as_str());
    if let Some(span) = answer.retry_after {
        let seconds = span.0.div_ceil(MILLIS_PER_SECOND).to_string();
        set_header(&mut response, RETRY_AFTER.as_str(), &seconds);
    }
    response
}

/// Adds `Connection: close` to a response.
pub fn close_connection<B>(mut response: Response<B>) -> Response<B> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Sets a header; skips it if its name or value is not valid in HTTP.
fn set_header<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
