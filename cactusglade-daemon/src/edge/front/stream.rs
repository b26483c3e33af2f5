//! Answers that are forwarded event by event, and resumed at another upstream where one fails.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use cactusglade_core::units::Millis;
use cactusglade_link::body::Share;
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
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;

use super::entry::Buffered;
use super::entry::Entry;
use super::exchange::Ending;
use super::exchange::Exchange;
use super::plain;
use super::sending::Fault;
use super::sending::Reservation;
use super::sending::Started;
use super::silence::Timer;

/// Time without an event after which a stream is resumed at another upstream, as a multiple of the
/// route's maximum gap between two events. Callers wait for eight such gaps.
const MAX_SILENCE_GAPS: u64 = 3;

/// Maximum number of bytes between two new events, such as comments that keep a connection alive.
const MAX_FILLER_BYTES: usize = 256 << 10;

/// Error that aborts an answer, so that the caller does not take it as complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream ended early and no upstream resumed it")]
pub struct Broken;

/// `Item` of a streamed body.
pub type Item = Result<Frame<Bytes>, Broken>;

/// Answers a request whose answer is a stream of events.
///
/// # Errors
///
/// Returns a buffered answer where no stream begins.
pub async fn answer<F: port::Codec>(
    entry: Arc<Entry<F>>,
) -> Result<Response<StreamBody<impl Stream<Item = Item>>>, Buffered> {
    let mut exchange = Exchange::new(entry);
    let started = begin(&mut exchange).await?;
    let entry = exchange.entry.clone();
    let headers: HeaderMap = entry.context.codec.response_headers(&started.head);
    let mut flow = Flow::new(exchange, started);
    let bytes = match flow.next().await {
        Ok(bytes) => bytes.unwrap_or_default(),
        Err(ending) => return Err(flow.exchange.error_answer(ending)),
    };
    entry.record_first_byte();
    flow.exchange.attempt.begin_answer();
    let mut response = Response::new(StreamBody::new(flow.into_stream(bytes)));
    *response.headers_mut() = headers;
    plain::close_if_draining(&entry, &mut response);
    Ok(response)
}

/// Sends the request until an upstream begins a stream.
///
/// # Errors
///
/// Returns a buffered answer where no upstream does.
async fn begin<F: port::Codec>(exchange: &mut Exchange<F>) -> Result<Started, Buffered> {
    loop {
        let last_event = exchange.entry.call.last_event;
        let started = match exchange.send(last_event).await {
            Ok(started) => started,
            Err(ending) => return Err(exchange.error_answer(ending)),
        };
        if started.head.status.is_success() {
            return Ok(started);
        }
        match plain::read_answer(exchange, started).await {
            Ok(buffered) => return Err(buffered),
            Err(Some(ending)) => return Err(exchange.error_answer(ending)),
            Err(None) => {}
        }
    }
}

/// `Flow` is the state of a stream of events, which may be resumed at another upstream.
struct Flow<F> {
    exchange: Exchange<F>,
    body: Incoming,
    reservation: Option<Reservation>,
    /// Whether the stream may be complete when the body ends: the body has framing, or the caller has
    /// had an event. Otherwise the upstream may have crashed, which looks the same.
    may_end: bool,
    splitter: Splitter,
    /// Memory of the incomplete event.
    share: Share,
    /// Fault after the events that were returned last.
    fault: Option<Fault>,
    /// Number of the last event that was forwarded to the caller.
    cursor: Option<u64>,
    /// Time until which the next new event must arrive.
    event_due: Millis,
    /// Limit of the wait for the first event of the upstream.
    timer: Timer,
    /// Bytes received since the last new event that are part of none.
    filler: usize,
    is_counted: bool,
    has_ended: bool,
}

impl<F: port::Codec> Flow<F> {
    fn new(exchange: Exchange<F>, started: Started) -> Self {
        let mut timer = started.timer;
        timer.renew(exchange.answer_deadline());
        Self {
            event_due: timer.until,
            timer,
            may_end: exchange.entry.call.last_event.is_some() || is_framed(&started.head.headers),
            cursor: exchange.entry.call.last_event,
            splitter: Splitter::new(exchange.entry.context.codec.event_fields()),
            share: exchange.entry.context.answers.share(),
            exchange,
            body: started.body,
            reservation: Some(started.reservation),
            fault: None,
            filler: 0,
            is_counted: false,
            has_ended: false,
        }
    }

    /// Returns the body of the answer; `first` are the events read so far.
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
                Err(ending) => {
                    flow.has_ended = true;
                    let sent = flow.exchange.attempt.sent();
                    let entry = &flow.exchange.entry;
                    entry.record_failure("stream_broken", ending.reason, sent);
                    Some((Err(Broken), (flow, None)))
                }
            }
        })
    }

    /// Returns the next complete events, or `None` at the end of the answer.
    async fn next(&mut self) -> Result<Option<Bytes>, Ending> {
        loop {
            match self.read_frame().await {
                Ok(Some(bytes)) if bytes.is_empty() => {}
                Ok(Some(bytes)) => {
                    self.record_event().await;
                    return Ok(Some(bytes));
                }
                Ok(None) => {
                    self.finish();
                    return Ok(None);
                }
                Err(fault) => self.resume(fault).await?,
            }
        }
    }

    /// Reads one frame of the body and returns the complete events that it ends.
    ///
    /// # Errors
    ///
    /// Fails where the stream broke off, or has something else than the next event. Events before
    /// that are returned first, since the stream is resumed after the last event that was popped.
    async fn read_frame(&mut self) -> Result<Option<Bytes>, Fault> {
        if let Some(fault) = self.fault.take() {
            return Err(fault);
        }
        let frame = loop {
            let deadline = self.exchange.entry.context.clock.instant(self.event_due);
            match tokio::time::timeout_at(deadline, self.body.frame()).await {
                Ok(frame) => break frame,
                Err(_) => self.await_longer().await?,
            }
        };
        match frame {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                let pushed = self.splitter.push(&data);
                pushed.map_err(|_| Fault::flood(Outcome::Broken))?;
                let mut bytes = BytesMut::new();
                match self.pop_events(&mut bytes) {
                    Err(fault) if bytes.is_empty() => return Err(fault),
                    popped => self.fault = popped.err(),
                }
                let resized = self.share.resize(self.splitter.buffered());
                if resized.is_err() && self.fault.is_none() {
                    let fault = Fault::flood(Outcome::Broken);
                    if bytes.is_empty() {
                        return Err(fault);
                    }
                    self.fault = Some(fault);
                }
                Ok(Some(bytes.freeze()))
            }
            Some(Err(_)) => Err(Fault::cut(Outcome::Broken)),
            None if self.splitter.has_partial() || !self.may_end => {
                Err(Fault::cut(Outcome::Broken))
            }
            None => Ok(None),
        }
    }

    /// Extends the time for the first event of the upstream, where its load explains that there is
    /// none yet.
    ///
    /// # Errors
    ///
    /// Returns the fault of the attempt where the time is not extended.
    async fn await_longer(&mut self) -> Result<(), Fault> {
        let reservation = self.reservation.as_ref();
        let Some(reservation) = reservation.filter(|reservation| !reservation.has_begun()) else {
            return Err(Fault::new(Outcome::Broken));
        };
        let entry = &self.exchange.entry;
        let extended = self
            .timer
            .extend(entry, reservation.grant(), &reservation.name);
        let fault = Fault::silence(Outcome::Broken, extended.await);
        self.event_due = self.timer.until;
        fault.map_or(Ok(()), Err)
    }

    /// Appends the complete events that were received and not yet forwarded.
    ///
    /// Only events with content move the time by which the next one must arrive: an upstream that
    /// sends nothing but comments is as silent as one that sends nothing.
    fn pop_events(&mut self, bytes: &mut BytesMut) -> Result<(), Fault> {
        let broken = Fault::new(Outcome::Broken);
        while let Some(event) = self.splitter.pop().map_err(|_| broken)? {
            let is_new = self.is_new(&event).map_err(Fault::new)?;
            if is_new && (event.has_data || event.id.is_some()) {
                self.event_due = self.next_event_due();
                self.may_end = true;
                self.filler = 0;
            } else {
                self.filler += event.bytes.len();
            }
            if self.filler > MAX_FILLER_BYTES {
                return Err(Fault::flood(Outcome::Broken));
            }
            if is_new {
                self.cursor = event.id.or(self.cursor);
                if let Some(reservation) = self.reservation.as_mut() {
                    reservation.events += 1;
                }
                bytes.extend_from_slice(&event.bytes);
            }
        }
        Ok(())
    }

    /// Whether an event was not forwarded yet.
    ///
    /// # Errors
    ///
    /// Fails where events between it and the last one are missing, or where it has data and no
    /// number although the stream's events are numbered.
    fn is_new(&self, event: &Event) -> Result<bool, Outcome> {
        match (event.id, self.cursor) {
            (Some(id), Some(cursor)) if id <= cursor => Ok(false),
            (Some(id), Some(cursor)) if id > cursor + 1 => Err(Outcome::Broken),
            (None, Some(_)) if event.has_data => Err(Outcome::Broken),
            _ => Ok(true),
        }
    }

    /// Returns the time until which the event after a new one must arrive.
    ///
    /// It depends on events only: an upstream that sends other bytes now and then is as silent as
    /// one that sends none, and one whose events come within the greatest gap is never cut.
    fn next_event_due(&self) -> Millis {
        let entry = &self.exchange.entry;
        if self.exchange.answer_deadline() == entry.deadline {
            // The stream can't be resumed elsewhere.
            return entry.deadline;
        }
        let gap = entry
            .catalog_route()
            .map_or(Millis(0), |route| route.max_gap);
        let now = entry.context.clock.now();
        entry.deadline.min(now + Millis(gap.0 * MAX_SILENCE_GAPS))
    }

    /// Reports the first event of each upstream, and counts the request with its first event.
    async fn record_event(&mut self) {
        let organisation = self.exchange.entry.organisation;
        let organisation = organisation.filter(|_| !self.is_counted);
        self.is_counted = true;
        if let Some(reservation) = self.reservation.as_mut() {
            reservation.begin(organisation).await;
        }
    }

    /// Logs and counts a stream that ended completely.
    fn finish(&mut self) {
        self.has_ended = true;
        if let Some(reservation) = self.reservation.take() {
            reservation.succeed();
        }
        let sent = self.exchange.attempt.sent() + 1;
        self.exchange.entry.record("ok", sent);
    }

    /// Resumes the stream at another upstream after an attempt that failed.
    async fn resume(&mut self, mut fault: Fault) -> Result<(), Ending> {
        loop {
            if let Some(reservation) = self.reservation.take() {
                self.exchange.handle_failure(fault, reservation)?;
            }
            let started = self.exchange.send(self.cursor).await?;
            self.reservation = Some(started.reservation);
            if started.head.status.is_success() {
                self.timer = started.timer;
                self.timer.renew(self.exchange.answer_deadline());
                self.event_due = self.timer.until;
                self.filler = 0;
                self.may_end = self.cursor.is_some() || is_framed(&started.head.headers);
                self.body = started.body;
                let fields = self.exchange.entry.context.codec.event_fields();
                self.splitter = Splitter::new(fields);
                return Ok(());
            }
            fault = Fault::new(Outcome::Failed { is_promise: false });
        }
    }
}

/// Whether a body has a length or is sent in chunks.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
