//! One attempt to send a request to one upstream, up to the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_link::link;
use cactusglade_link::link::Connection;
use cactusglade_policy::attempt::Outcome;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Report;
use cactusglade_policy::quarantine::PROOF_TIME;
use cactusglade_wire::port;
use cactusglade_wire::port::Forwarding;
use cactusglade_wire::port::Rejection;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::response;
use kameo::actor::ActorRef;

use crate::edge::broker;
use crate::edge::broker::Begun;
use crate::edge::broker::Broker;
use crate::edge::broker::Ended;
use crate::edge::broker::Placement;
use crate::edge::broker::Proved;

use super::entry::Entry;
use super::silence::Timer;
use super::silence::Verdict;

/// Timeout of connecting to an upstream. Zones are about 1 ms apart, and a lost packet is
/// retransmitted after 200 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// `Fault` is the way in which an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// What it says about the request.
    pub outcome: Outcome,
    /// Whether the upstream's connection ended while the upstream had the request, as it does when
    /// the upstream's process ends.
    pub is_cut: bool,
    /// Whether the upstream sent more than an answer may have, so that this daemon gave it up.
    pub is_flood: bool,
    /// Whether the load of the upstream explains that it did not answer in time.
    pub is_explained: bool,
}

impl Fault {
    /// Returns the fault of an attempt whose connection did not end.
    pub const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            is_cut: false,
            is_flood: false,
            is_explained: false,
        }
    }

    /// Returns the fault of an attempt that ended with the upstream's connection.
    pub const fn cut(outcome: Outcome) -> Self {
        Self {
            is_cut: true,
            ..Self::new(outcome)
        }
    }

    /// Returns the fault of an attempt that this daemon gave up because of what the upstream sent.
    pub const fn flood(outcome: Outcome) -> Self {
        Self {
            is_flood: true,
            ..Self::new(outcome)
        }
    }

    /// Returns the fault of an attempt whose upstream did not begin to answer in time; `None` while
    /// it may still do so.
    pub fn silence(outcome: Outcome, verdict: Verdict) -> Option<Self> {
        let fault = Self {
            is_explained: verdict == Verdict::Explained,
            ..Self::new(outcome)
        };
        (verdict != Verdict::Wait).then_some(fault)
    }
}

/// `Started` is an answer whose head has been received.
#[derive(Debug)]
pub struct Started {
    /// Head of the answer.
    pub head: response::Parts,
    /// Body of the answer.
    pub body: Incoming,
    /// Limit of the wait for the answer to begin.
    pub timer: Timer,
    /// Reservation at the upstream.
    pub reservation: Reservation,
}

/// `Reservation` holds a place at an upstream.
///
/// Dropping it releases the place and closes the connection.
#[derive(Debug)]
pub struct Reservation {
    broker: ActorRef<Broker>,
    clock: Clock,
    grant: Grant,
    /// Name of the upstream.
    pub name: String,
    connection: Option<Connection>,
    sent_at: Millis,
    latency: Option<Millis>,
    keep_alive: Option<Millis>,
    closes: bool,
    /// When the upstream began to answer.
    began: Option<Millis>,
    has_proved: bool,
    has_ended: bool,
    /// Prompt of a model request.
    prompt: Option<Arc<Prompt>>,
    /// Number of events of the answer that were forwarded to the caller.
    pub events: u64,
}

impl Reservation {
    /// Holds the place that the broker assigned; returns it with the upstream's address.
    pub fn new<F>(entry: &Entry<F>, placement: Placement) -> (Self, std::net::SocketAddr) {
        let reservation = Self {
            broker: entry.context.broker.clone(),
            clock: entry.context.clock,
            grant: placement.grant,
            name: placement.name,
            connection: placement.connection,
            sent_at: entry.context.clock.now(),
            latency: None,
            keep_alive: None,
            closes: false,
            began: None,
            has_proved: false,
            has_ended: false,
            prompt: entry.prompt.clone(),
            events: 0,
        };
        (reservation, placement.address)
    }

    /// Returns the key of the upstream.
    pub const fn upstream(&self) -> arena::Upstream {
        self.grant.upstream
    }

    /// Returns the grant under which the request was sent.
    pub const fn grant(&self) -> Grant {
        self.grant
    }

    /// Returns whether the upstream has begun to answer.
    pub const fn has_begun(&self) -> bool {
        self.began.is_some()
    }

    /// Reports to the broker that the upstream has begun to answer, once for each attempt, and later
    /// that the answer goes on.
    pub async fn begin(&mut self, organisation: Option<arena::Organisation>) {
        let now = self.clock.now();
        if self.began.is_some() {
            self.prove(now).await;
            return;
        }
        self.began = Some(now);
        let latency = now - self.sent_at;
        self.latency = Some(latency);
        let begun = Begun {
            grant: self.grant,
            organisation,
            latency,
        };
        // Fails only while the daemon stops.
        let _ = self.broker.tell(begun).await;
    }

    /// Reports once that the answer has gone on for [`PROOF_TIME`].
    async fn prove(&mut self, now: Millis) {
        let began = self.began.filter(|began| now - *began >= PROOF_TIME);
        let prompt = self.prompt.as_ref().filter(|_| !self.has_proved);
        if let (Some(began), Some(prompt)) = (began, prompt) {
            let prompt = prompt.clone();
            self.has_proved = true;
            // Fails only while the daemon stops.
            let _ = self.broker.tell(Proved { prompt, began }).await;
        }
    }

    /// Releases the place after a complete answer, and returns the connection for reuse.
    pub fn succeed(mut self) {
        let connection = self.connection.take().filter(|_| !self.closes);
        self.release(Some(true), None, connection);
    }

    /// Releases the place after an attempt that failed.
    pub fn fail(mut self, fault: Fault) {
        let connection = self.connection.take();
        // Neither a refusal nor a wait that the load explains tells how good the answers are.
        let is_rated = fault.outcome != Outcome::Unrun && !fault.is_explained;
        let is_good = is_rated.then_some(false);
        let connection = match fault.outcome {
            Outcome::Unrun | Outcome::Failed { .. } => connection,
            Outcome::Misdirected | Outcome::Unsent | Outcome::Lost | Outcome::Broken => None,
        };
        self.release(is_good, Some(fault), connection);
    }

    /// Reports the end of the attempt to the broker.
    fn release(
        &mut self,
        is_good: Option<bool>,
        fault: Option<Fault>,
        connection: Option<Connection>,
    ) {
        self.has_ended = true;
        let is_lost = fault
            .is_some_and(|fault| !matches!(fault.outcome, Outcome::Unrun | Outcome::Failed { .. }));
        let ended = Ended {
            grant: self.grant,
            events: self.events,
            began: self.began,
            is_cut: fault.is_some_and(|fault| fault.is_cut),
            prompt: self.prompt.take(),
            report: Report {
                is_good,
                is_lost,
                is_explained: fault.is_some_and(|fault| fault.is_explained),
                latency: self.latency,
            },
            connection: connection.map(|connection| (connection, self.keep_alive)),
        };
        let broker = self.broker.clone();
        tokio::spawn(async move {
            // Fails only while the daemon stops.
            let _ = broker.tell(ended).await;
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.has_ended {
            self.connection = None;
            self.release(None, None, None);
        }
    }
}

/// Sends a request and reads the head of the answer, until a time on the daemon's clock that the
/// load of the upstream may extend.
///
/// # Errors
///
/// Returns the outcome where the request could not be sent, no answer came in time, or the answer
/// belongs to another attempt or refuses this one.
pub async fn send<F: port::Codec>(
    entry: &Entry<F>,
    placement: Placement,
    last_event: Option<u64>,
    mut timer: Timer,
) -> Result<Started, (Fault, Reservation)> {
    let unsent = Fault::new(Outcome::Unsent);
    let (mut reservation, address) = Reservation::new(entry, placement);
    let is_kept = reservation.connection.is_some();
    let mut connection = match reservation.connection.take() {
        Some(connection) => connection,
        None => match Connection::try_new(address, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(_) => return Err((unsent, reservation)),
        },
    };
    let Some(request) = upstream_request(entry, &reservation.name, last_event) else {
        return Err((unsent, reservation));
    };
    let exchanged = await_answer(entry, &reservation, &mut connection, request, &mut timer);
    let response = match exchanged.await {
        Ok(response) => response,
        Err(fault) => return Err((fault, reservation)),
    };
    reservation.connection = Some(connection);
    let (head, body, reservation) = read_head(entry, reservation, response, is_kept).await?;
    Ok(Started {
        head,
        body,
        timer,
        reservation,
    })
}

/// Sends a request on a connection and waits for the head of the answer.
///
/// # Errors
///
/// Returns the fault of the attempt where there is none.
async fn await_answer<F: port::Codec>(
    entry: &Entry<F>,
    reservation: &Reservation,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
    timer: &mut Timer,
) -> Result<Response<Incoming>, Fault> {
    let mut answered = std::pin::pin!(connection.send(request));
    loop {
        let until = entry.context.clock.instant(timer.until);
        match tokio::time::timeout_at(until, answered.as_mut()).await {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(link::Error::NotSent)) => return Err(Fault::new(Outcome::Unsent)),
            // The upstream's process goes on, so this is no evidence that the prompt crashes
            // upstreams.
            Ok(Err(link::Error::Flooded)) => return Err(Fault::flood(Outcome::Lost)),
            Ok(Err(_)) => return Err(Fault::cut(Outcome::Lost)),
            Err(_) => {
                let extended = timer.extend(entry, reservation.grant, &reservation.name);
                if let Some(fault) = Fault::silence(Outcome::Lost, extended.await) {
                    return Err(fault);
                }
            }
        }
    }
}

/// Decodes the head of an answer, and rejects an answer that doesn't belong to the request.
///
/// A refusal that names no attempt is believed only on a new connection: on a kept one it may
/// repeat the answer to an earlier request.
async fn read_head<F: port::Codec>(
    entry: &Entry<F>,
    mut reservation: Reservation,
    response: Response<Incoming>,
    is_kept: bool,
) -> Result<(response::Parts, Incoming, Reservation), (Fault, Reservation)> {
    let (parts, body) = response.into_parts();
    let reply = entry.context.codec.decode_reply(&parts);
    reservation.keep_alive = reply.keep_alive;
    reservation.closes = reply.closes;
    let is_ours = match &reply.id {
        Some(id) => *id == entry.call.id,
        None => reply.rejection.is_some() && !is_kept,
    };
    if !is_ours {
        entry.context.metrics.mismatches.inc();
        reservation.connection = None;
        return Err((Fault::new(Outcome::Lost), reservation));
    }
    if reply.rejection == Some(Rejection::Misdirected) {
        // What it states is about another upstream.
        reservation.connection = None;
        return Err((Fault::new(Outcome::Misdirected), reservation));
    }
    let observe = broker::Observe {
        upstream: reservation.grant.upstream,
        load: reply.load,
        limit: reply.limit,
        sent_at: reservation.sent_at,
    };
    let _ = reservation.broker.tell(observe).await;
    if let Some(span) = reply.retry_after {
        let spare = broker::Spare {
            upstream: reservation.grant.upstream,
            span,
        };
        let _ = reservation.broker.tell(spare).await;
    }
    if reply.is_leaving {
        let retire = broker::Retire(reservation.grant.upstream);
        let _ = reservation.broker.tell(retire).await;
    }
    if reply.rejection == Some(Rejection::Refused) {
        // The body of the refusal is not read, so the connection can't be reused.
        reservation.connection = None;
        return Err((Fault::new(Outcome::Unrun), reservation));
    }
    Ok((parts, body, reservation))
}

/// Returns the request for the upstream; `None` where the target can't be encoded.
fn upstream_request<F: port::Codec>(
    entry: &Entry<F>,
    upstream: &str,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let context = &entry.context;
    let forwarding = Forwarding {
        upstream,
        organisation: entry.organisation_name(),
        remaining: entry.deadline - context.clock.now(),
        last_event,
        priority: entry.priority(),
    };
    let mut request = Request::new(Full::new(entry.body.clone()));
    *request.method_mut() = entry.head.method.clone();
    let target = entry.head.uri.path_and_query()?.as_str();
    *request.uri_mut() = target.parse().ok()?;
    *request.headers_mut() = context.codec.request_headers(&entry.head, &forwarding);
    Some(request)
}
