//! Answers that are passed on whole.

use std::sync::Arc;

use bytes::Bytes;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;
use cactusglade_wire::port;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::response;

use super::context::Phase;
use super::entry::Entry;
use super::entry::Whole;
use super::exchange::Exchange;
use super::exchange::Stop;
use super::sending::Reached;

/// Longest answer that is held whole, in bytes; those of plain services are some kilobytes.
const MAX_ANSWER: usize = 8 << 20;

/// Answers a request of a plain service.
pub async fn answer<F: port::Codec>(entry: Arc<Entry<F>>) -> Whole {
    let mut exchange = Exchange::new(entry);
    loop {
        let stop = match exchange.reach(exchange.entry.call.last_event).await {
            Ok(reached) => match finish(&mut exchange, reached).await {
                Ok(answer) => return answer,
                Err(stop) => stop,
            },
            Err(stop) => Some(stop),
        };
        if let Some(stop) = stop {
            return exchange.stop(stop);
        }
    }
}

/// Reads the rest of an answer; nothing in the error says that the request goes out again.
pub async fn finish<F: port::Codec>(
    exchange: &mut Exchange<F>,
    reached: Reached,
) -> Result<Whole, Option<Stop>> {
    let Reached {
        head,
        body,
        mut held,
    } = reached;
    let entry = exchange.entry.clone();
    let organisation = entry
        .organisation
        .filter(|_| !exchange.attempt.may_have_run());
    held.begin(organisation).await;
    let until = entry.context.clock.instant(entry.deadline);
    let body = tokio::time::timeout_at(until, Limited::new(body, MAX_ANSWER).collect());
    let Ok(Ok(body)) = body.await else {
        return Err(exchange.failed(Outcome::Lost, held).err());
    };
    let body = body.to_bytes();
    let Some(is_promise) = failure(head.status) else {
        held.succeed();
        entry.first_byte();
        entry.record("ok", exchange.attempt.sent() + 1);
        return Ok(response(&entry, &head, body));
    };
    let outcome = Outcome::Failed {
        says_not_run: is_promise,
    };
    match exchange.failed(outcome, held) {
        Ok(()) => Err(None),
        Err(stop) if stop.next == Next::Forward => {
            entry.failed("upstream_failed", exchange.attempt.sent());
            Ok(response(&entry, &head, body))
        }
        Err(stop) => Err(Some(stop)),
    }
}

/// Whether a status is a failure, and if so whether callers take it for a promise.
fn failure(status: StatusCode) -> Option<bool> {
    let is_promise = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    (is_promise || status.is_server_error()).then_some(is_promise)
}

fn response<F: port::Codec>(entry: &Entry<F>, head: &response::Parts, body: Bytes) -> Whole {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = entry.context.front.response_headers(head);
    close(entry, &mut response);
    response
}

/// Lets the connection end with this answer while the daemon shuts down.
pub fn close<F, B>(entry: &Entry<F>, response: &mut Response<B>) {
    if *entry.context.phase.borrow() != Phase::Serving {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, value);
    }
}
