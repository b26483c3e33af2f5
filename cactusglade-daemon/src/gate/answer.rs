//! Answers to callers: their bodies and the errors among them.

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

/// Prefix of the paths at which chats are resumed.
pub const RESUME_PREFIX: &str = "/resume/";
const MILLIS_PER_SECOND: u64 = 1_000;

/// `Whole` is the body of an answer that is there at once.
pub type Whole = Full<Bytes>;

/// `Body` of an answer: whole, or streamed.
pub type Body<S> = Either<Whole, StreamBody<S>>;

/// An answer with a whole body.
pub fn whole(status: u16, content_type: &str, body: impl Into<Bytes>, id: &str) -> Response<Whole> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    put(&mut response, CONTENT_TYPE.as_str(), content_type);
    put(&mut response, header::REQUEST, id);
    response
}

/// A streamed answer.
pub fn streamed<B>(body: B, id: &str, version: &str) -> Response<B> {
    let mut response = Response::new(body);
    put(&mut response, CONTENT_TYPE.as_str(), "text/event-stream");
    put(&mut response, header::REQUEST, id);
    put(&mut response, header::VERSION, version);
    put(&mut response, header::RESUME, &resume_path(id));
    response
}

/// Path at which a chat can be resumed through any daemon.
pub fn resume_path(id: &str) -> String {
    format!("{RESUME_PREFIX}{id}")
}

/// The answer to a caller whose chat goes on at another daemon.
pub fn elsewhere(id: &str) -> Response<Whole> {
    let mut response = whole(303, "application/json", "{}", id);
    put(&mut response, LOCATION.as_str(), &resume_path(id));
    closing(response)
}

/// The answer that a plain service gave.
pub fn reply(reply: Reply, id: &str) -> Response<Whole> {
    whole(reply.status, &reply.content_type, reply.body, id)
}

/// The answer to an error kind.
pub fn failure(kind: Kind, message: &str, id: &str) -> Response<Whole> {
    let answer = kind.answer();
    let body = Failure::new(kind, message, id).body();
    let mut response = whole(answer.status, "application/json", body, id);
    put(&mut response, header::RAN, answer.ran.as_str());
    if let Some(span) = answer.retry_after {
        let seconds = span.0.div_ceil(MILLIS_PER_SECOND).to_string();
        put(&mut response, RETRY_AFTER.as_str(), &seconds);
    }
    response
}

/// The same answer, after which the connection is closed.
pub fn closing<B>(mut response: Response<B>) -> Response<B> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Sets a header where its value can be one.
fn put<B>(response: &mut Response<B>, name: &str, value: &str) {
    let name = HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
