//! Answers that are passed on event by event, from upstream to upstream where they have to.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use cactusglade_core::units::Millis;
use cactusglade_policy::attempt::Outcome;
use cactusglade_wire::event::Event;
use cactusglade_wire::event::Splitter;
use cactusglade_wire::port;
use futures::Stream;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;

use super::entry::Entry;
use super::entry::Whole;
use super::exchange::Exchange;
use super::exchange::Stop;
use super::plain;
use super::sending::Held;
use super::sending::Reached;

/// Silence between two events after which a stream goes on elsewhere, as a multiple of the longest
/// pause of an answer in time; callers wait for eight of them.
const SILENT_GAPS: u64 = 3;

/// Error that breaks an answer off, so that it does not look complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream could not be finished")]
pub struct Broken;

/// `Item` of a streamed body.
pub type Item = Result<Frame<Bytes>, Broken>;

/// Answers a request whose answer is a stream of events.
///
/// # Errors
///
/// Returns a whole answer where no stream begins.
pub async fn answer<F: port::Codec>(
    entry: Arc<Entry<F>>,
) -> Result<Response<StreamBody<impl Stream<Item = Item>>>, Whole> {
    let mut exchange = Exchange::new(entry);
    let reached = begin(&mut exchange).await?;
    let entry = exchange.entry.clone();
    let headers: HeaderMap = entry.context.front.response_headers(&reached.head);
    let mut flow = Flow::new(exchange, reached);
    let bytes = match flow.next().await {
        Ok(bytes) => bytes.unwrap_or_default(),
        Err(stop) => return Err(flow.exchange.stop(stop)),
    };
    entry.first_byte();
    flow.exchange.attempt.begin_answer();
    let mut response = Response::new(StreamBody::new(flow.into_stream(bytes)));
    *response.headers_mut() = headers;
    plain::close(&entry, &mut response);
    Ok(response)
}

/// Sends the request until an upstream begins a stream.
async fn begin<F: port::Codec>(exchange: &mut Exchange<F>) -> Result<Reached, Whole> {
    loop {
        let last_event = exchange.entry.call.last_event;
        let reached = match exchange.reach(last_event).await {
            Ok(reached) => reached,
            Err(stop) => return Err(exchange.stop(stop)),
        };
        if reached.head.status.is_success() {
            return Ok(reached);
        }
        match plain::finish(exchange, reached).await {
            Ok(whole) => return Err(whole),
            Err(Some(stop)) => return Err(exchange.stop(stop)),
            Err(None) => {}
        }
    }
}

/// `Flow` is a stream on its way from one upstream, and after it perhaps another.
struct Flow<F> {
    exchange: Exchange<F>,
    body: Incoming,
    held: Option<Held>,
    splitter: Splitter,
    /// Number of the last event that the caller has.
    cursor: Option<u64>,
    is_counted: bool,
    has_ended: bool,
}

impl<F: port::Codec> Flow<F> {
    fn new(exchange: Exchange<F>, reached: Reached) -> Self {
        Self {
            cursor: exchange.entry.call.last_event,
            exchange,
            body: reached.body,
            held: Some(reached.held),
            splitter: Splitter::default(),
            is_counted: false,
            has_ended: false,
        }
    }

    /// The body of the answer, from its first events on.
    fn into_stream(self, first: Bytes) -> impl Stream<Item = Item> {
        stream::unfold((self, Some(first)), |(mut flow, first)| async move {
            if let Some(bytes) = first.filter(|bytes| !bytes.is_empty()) {
                return Some((Ok(Frame::data(bytes)), (flow, None)));
            }
            if flow.has_ended {
                return None;
            }
            match flow.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), (flow, None))),
                Ok(None) => None,
                Err(_) => {
                    flow.has_ended = true;
                    let sent = flow.exchange.attempt.sent();
                    flow.exchange.entry.failed("stream_broken", sent);
                    Some((Err(Broken), (flow, None)))
                }
            }
        })
    }

    /// The next whole events, nothing at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, Stop> {
        loop {
            match self.read().await {
                Ok(Some(bytes)) if bytes.is_empty() => {}
                Ok(Some(bytes)) => {
                    self.count().await;
                    return Ok(Some(bytes));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(outcome) => self.again(outcome).await?,
            }
        }
    }

    /// Reads what comes next of the body and gives back the whole events in it.
    async fn read(&mut self) -> Result<Option<Bytes>, Outcome> {
        let until = self.exchange.entry.context.clock.instant(self.silence());
        let Ok(frame) = tokio::time::timeout_at(until, self.body.frame()).await else {
            return Err(Outcome::Broken);
        };
        match frame {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                self.splitter.push(&data).map_err(|_| Outcome::Broken)?;
                self.events()
            }
            Some(Err(_)) => Err(Outcome::Broken),
            None if self.splitter.has_partial() => Err(Outcome::Broken),
            None => Ok(None),
        }
    }

    /// The whole events that are there and that the caller does not have yet.
    fn events(&mut self) -> Result<Option<Bytes>, Outcome> {
        let mut bytes = BytesMut::new();
        while let Some(event) = self.splitter.pop() {
            if self.is_next(&event)? {
                self.cursor = event.id.or(self.cursor);
                if let Some(held) = self.held.as_mut() {
                    held.events += 1;
                }
                bytes.extend_from_slice(&event.bytes);
            }
        }
        Ok(Some(bytes.freeze()))
    }

    /// Whether an event follows what the caller has; one that leaves a gap breaks the stream.
    fn is_next(&self, event: &Event) -> Result<bool, Outcome> {
        match (event.id, self.cursor) {
            (Some(id), Some(cursor)) if id <= cursor => Ok(false),
            (Some(id), Some(cursor)) if id > cursor + 1 => Err(Outcome::Broken),
            _ => Ok(true),
        }
    }

    /// Until when the upstream may stay silent.
    fn silence(&self) -> Millis {
        let until = self.exchange.silence();
        if !self.is_counted {
            return until;
        }
        let entry = &self.exchange.entry;
        let gap = entry.object().map_or(Millis(0), |route| route.max_gap);
        let now = entry.context.clock.now();
        if until < entry.deadline {
            until.min(now + Millis(gap.0 * SILENT_GAPS))
        } else {
            until
        }
    }

    /// Counts the request with its first event.
    async fn count(&mut self) {
        let organisation = self.exchange.entry.organisation;
        let organisation = organisation.filter(|_| !self.is_counted);
        self.is_counted = true;
        if let Some(held) = self.held.as_mut() {
            held.begin(organisation).await;
        }
    }

    fn finish(&mut self) {
        self.has_ended = true;
        if let Some(held) = self.held.take() {
            held.succeed();
        }
        let sent = self.exchange.attempt.sent() + 1;
        self.exchange.entry.record("ok", sent);
    }

    /// Goes on at another upstream after a sending that ended like this.
    async fn again(&mut self, outcome: Outcome) -> Result<(), Stop> {
        let mut outcome = outcome;
        loop {
            if let Some(held) = self.held.take() {
                self.exchange.failed(outcome, held)?;
            }
            let reached = self.exchange.reach(self.cursor).await?;
            self.held = Some(reached.held);
            if reached.head.status.is_success() {
                self.body = reached.body;
                self.splitter = Splitter::default();
                return Ok(());
            }
            outcome = Outcome::Failed {
                says_not_run: false,
            };
        }
    }
}
