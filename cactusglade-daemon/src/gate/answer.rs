//! Answers to callers: their bodies and the errors among them.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::row::Reply;
use cactusglade_wire::caller::Failure;
use cactusglade_wire::header;
use futures::Stream;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use tokio::sync::mpsc;

/// Events of a stream that a slow caller may leave waiting.
const FRAMES: usize = 64;
const MILLIS_PER_SECOND: u64 = 1_000;

/// `Frames` are the parts of a streamed body as they come through a channel.
#[derive(Debug)]
pub struct Frames(mpsc::Receiver<Bytes>);

impl Stream for Frames {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0
            .poll_recv(context)
            .map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// `Body` of an answer: whole, or streamed.
pub type Body = Either<Full<Bytes>, StreamBody<Frames>>;

/// An answer with a whole body.
pub fn whole(status: u16, content_type: &str, body: impl Into<Bytes>, id: &str) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    put(&mut response, CONTENT_TYPE.as_str(), content_type);
    put(&mut response, header::REQUEST, id);
    response
}

/// A streamed answer and where its events go.
pub fn streamed(id: &str, version: &str) -> (Response<Body>, mpsc::Sender<Bytes>) {
    let (sender, receiver) = mpsc::channel(FRAMES);
    let mut response = Response::new(Either::Right(StreamBody::new(Frames(receiver))));
    put(&mut response, CONTENT_TYPE.as_str(), "text/event-stream");
    put(&mut response, header::REQUEST, id);
    put(&mut response, header::VERSION, version);
    (response, sender)
}

/// The answer that a plain service gave.
pub fn reply(reply: Reply, id: &str) -> Response<Body> {
    whole(reply.status, &reply.content_type, reply.body, id)
}

/// The answer to an error kind.
pub fn failure(kind: Kind, message: &str, id: &str) -> Response<Body> {
    let answer = kind.answer();
    let body = Failure::new(kind, message, id).body();
    let mut response = whole(answer.status, "application/json", body, id);
    put(&mut response, header::RAN, answer.ran.word());
    if let Some(span) = answer.retry_after {
        let seconds = span.0.div_ceil(MILLIS_PER_SECOND).to_string();
        put(&mut response, RETRY_AFTER.as_str(), &seconds);
    }
    response
}

/// The same answer, after which the connection is closed.
pub fn closing(mut response: Response<Body>) -> Response<Body> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Sets a header where its value can be one.
pub fn put(response: &mut Response<Body>, name: &str, value: &str) {
    let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
}
