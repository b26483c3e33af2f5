//! Answers that are buffered and then forwarded.

use std::sync::Arc;

use bytes::Bytes;
use cactusglade_link::body;
use cactusglade_policy::attempt::Next;
use cactusglade_policy::attempt::Outcome;
use cactusglade_wire::port;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::response;

use super::context::Phase;
use super::entry::Buffered;
use super::entry::Entry;
use super::exchange::Ending;
use super::exchange::Exchange;
use super::sending::Fault;
use super::sending::Started;

/// Longest answer that is buffered, in bytes. Answers of plain services have some kilobytes, and a
/// faulty upstream may send bytes without end while others do too.
const MAX_ANSWER_BYTES: usize = 2 << 20;

/// Answers a request whose answer is not streamed.
pub async fn answer<F: port::Codec>(entry: Arc<Entry<F>>) -> Buffered {
    let mut exchange = Exchange::new(entry);
    loop {
        let ending = match exchange.send(exchange.entry.call.last_event).await {
            Ok(started) => match read_answer(&mut exchange, started).await {
                Ok(answer) => return answer,
                Err(ending) => ending,
            },
            Err(ending) => Some(ending),
        };
        if let Some(ending) = ending {
            return exchange.error_answer(ending);
        }
    }
}

/// Reads the body of an answer.
///
/// # Errors
///
/// Returns how the exchange ends where the answer can't be forwarded, or `None` where the request
/// is to be sent again.
pub async fn read_answer<F: port::Codec>(
    exchange: &mut Exchange<F>,
    started: Started,
) -> Result<Buffered, Option<Ending>> {
    let Started {
        head,
        body,
        mut reservation,
        ..
    } = started;
    let entry = exchange.entry.clone();
    let organisation = entry
        .organisation
        .filter(|_| !exchange.attempt.may_have_run());
    reservation.begin(organisation).await;
    let deadline = entry.context.clock.instant(entry.deadline);
    let body = body::collect(body, MAX_ANSWER_BYTES, &entry.context.answers);
    let body = tokio::time::timeout_at(deadline, body);
    let body = match body.await {
        Ok(Ok(body)) => body,
        failed => {
            let fault = match failed {
                Ok(Err(error)) if error.is_flood() => Fault::flood(Outcome::Lost),
                Ok(_) => Fault::cut(Outcome::Lost),
                Err(_) => Fault::new(Outcome::Lost),
            };
            return Err(exchange.handle_failure(fault, reservation).err());
        }
    };
    let Some(says_not_run) = classify_failure(head.status) else {
        reservation.succeed();
        entry.record_first_byte();
        entry.record("ok", exchange.attempt.sent() + 1);
        return Ok(response(&entry, &head, body));
    };
    let outcome = Outcome::Failed {
        is_promise: says_not_run,
    };
    match exchange.handle_failure(Fault::new(outcome), reservation) {
        Ok(()) => Err(None),
        Err(ending) if ending.next == Next::Pass => {
            entry.record_failure("upstream_failed", None, exchange.attempt.sent());
            Ok(response(&entry, &head, body))
        }
        Err(ending) => Err(Some(ending)),
    }
}

/// Returns `None` for a status that is no failure, and else whether callers take the failure to say
/// that the request did not run.
fn classify_failure(status: StatusCode) -> Option<bool> {
    let says_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    (says_not_run || status.is_server_error()).then_some(says_not_run)
}

/// Returns the answer to the caller from an upstream's answer.
fn response<F: port::Codec>(entry: &Entry<F>, head: &response::Parts, body: Bytes) -> Buffered {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = entry.context.codec.response_headers(head);
    close_if_draining(entry, &mut response);
    response
}

/// Closes the connection after this answer while the daemon shuts down.
pub fn close_if_draining<F, B>(entry: &Entry<F>, response: &mut Response<B>) {
    if *entry.context.phase.borrow() != Phase::Serving {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, value);
    }
}
