//! One sending of a request to one upstream, up to the head of the answer.

use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_link::link;
use cactusglade_link::link::Connection;
use cactusglade_policy::attempt::Outcome;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Report;
use cactusglade_wire::port;
use cactusglade_wire::port::Forwarding;
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
use crate::edge::broker::Placed;

use super::entry::Entry;

/// Longest wait for a connection: zones lie about a millisecond apart, and a lost packet is sent
/// again after two hundred.
const CONNECT: Duration = Duration::from_millis(450);

/// `Reached` is an upstream that has begun to answer.
#[derive(Debug)]
pub struct Reached {
    /// Head of the answer.
    pub head: response::Parts,
    /// Body of the answer.
    pub body: Incoming,
    /// The place at the upstream.
    pub held: Held,
}

/// `Held` is a place at an upstream; dropping it gives the place back and hangs up.
#[derive(Debug)]
pub struct Held {
    broker: ActorRef<Broker>,
    clock: Clock,
    grant: Grant,
    /// Name of the upstream.
    pub name: String,
    connection: Option<Connection>,
    sent: Millis,
    took: Option<Millis>,
    idle: Option<Millis>,
    closes: bool,
    has_begun: bool,
    has_ended: bool,
    /// Events of the answer that were passed on.
    pub events: u64,
}

impl Held {
    /// Takes the place that the broker gave.
    pub fn new<F>(entry: &Entry<F>, placed: Placed) -> (Self, std::net::SocketAddr) {
        let held = Self {
            broker: entry.context.broker.clone(),
            clock: entry.context.clock,
            grant: placed.grant,
            name: placed.name,
            connection: placed.connection,
            sent: entry.context.clock.now(),
            took: None,
            idle: None,
            closes: false,
            has_begun: false,
            has_ended: false,
            events: 0,
        };
        (held, placed.address)
    }

    /// Key of the upstream.
    pub const fn upstream(&self) -> arena::Upstream {
        self.grant.upstream
    }

    /// Notes that the upstream has begun to work on the request.
    pub async fn begin(&mut self, organisation: Option<arena::Organisation>) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        self.took = Some(self.clock.now() - self.sent);
        let begun = Begun {
            grant: self.grant,
            organisation,
        };
        // The broker ends before this task only when the daemon does.
        let _ = self.broker.tell(begun).await;
    }

    /// Gives the place back with a good answer, and the connection where it can be used again.
    pub fn succeed(mut self) {
        let connection = self.connection.take().filter(|_| !self.closes);
        self.end(Some(true), false, connection);
    }

    /// Gives the place back after a sending that ended like this.
    pub fn fail(mut self, outcome: Outcome) {
        let connection = self.connection.take();
        match outcome {
            Outcome::NotRun => self.end(None, false, connection),
            Outcome::Failed { .. } => self.end(Some(false), false, connection),
            Outcome::Misdirected | Outcome::Unsent | Outcome::Lost | Outcome::Broken => {
                self.end(Some(false), true, None);
            }
        }
    }

    fn end(&mut self, is_good: Option<bool>, is_lost: bool, connection: Option<Connection>) {
        self.has_ended = true;
        let ended = Ended {
            grant: self.grant,
            has_begun: self.has_begun,
            events: self.events,
            report: Report {
                is_good,
                is_lost,
                took: self.took,
            },
            connection: connection.map(|connection| (connection, self.idle)),
        };
        let broker = self.broker.clone();
        tokio::spawn(async move {
            // The broker ends before this task only when the daemon does.
            let _ = broker.tell(ended).await;
        });
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.has_ended {
            self.connection = None;
            self.end(None, false, None);
        }
    }
}

/// Sends a request and reads the head of the answer, until a time on the daemon's clock.
///
/// # Errors
///
/// Returns how the sending ended where the answer is none to this very attempt.
pub async fn send<F: port::Codec>(
    entry: &Entry<F>,
    placed: Placed,
    last_event: Option<u64>,
    until: Millis,
) -> Result<Reached, (Outcome, Held)> {
    let (mut held, address) = Held::new(entry, placed);
    let mut connection = match held.connection.take() {
        Some(connection) => connection,
        None => match Connection::try_new(address, CONNECT).await {
            Ok(connection) => connection,
            Err(_) => return Err((Outcome::Unsent, held)),
        },
    };
    let Some(request) = request(entry, &held.name, last_event) else {
        return Err((Outcome::Unsent, held));
    };
    let until = entry.context.clock.instant(until);
    let answered = tokio::time::timeout_at(until, connection.send(request));
    let response = match answered.await {
        Ok(Ok(response)) => response,
        Ok(Err(link::Error::NotSent)) => return Err((Outcome::Unsent, held)),
        Ok(Err(_)) | Err(_) => return Err((Outcome::Lost, held)),
    };
    held.connection = Some(connection);
    read(entry, held, response).await
}

async fn read<F: port::Codec>(
    entry: &Entry<F>,
    mut held: Held,
    response: Response<Incoming>,
) -> Result<Reached, (Outcome, Held)> {
    let (parts, body) = response.into_parts();
    let reply = entry.context.front.decode_reply(&parts);
    held.idle = reply.keep_alive;
    held.closes = reply.closes;
    let is_other = reply.id.as_ref().is_some_and(|id| *id != entry.call.id);
    if is_other || (reply.id.is_none() && !reply.is_not_executed) {
        entry.context.metrics.mismatches.inc();
        held.connection = None;
        return Err((Outcome::Lost, held));
    }
    if let Some(load) = reply.load {
        let heard = broker::Heard {
            upstream: held.grant.upstream,
            load,
        };
        let _ = held.broker.tell(heard).await;
    }
    if reply.is_misdirected {
        held.connection = None;
        return Err((Outcome::Misdirected, held));
    }
    if reply.is_not_executed {
        // The rest of the refusal is not worth reading, so the connection is not kept.
        held.connection = None;
        return Err((Outcome::NotRun, held));
    }
    Ok(Reached {
        head: parts,
        body,
        held,
    })
}

fn request<F: port::Codec>(
    entry: &Entry<F>,
    upstream: &str,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let context = &entry.context;
    let onward = Forwarding {
        upstream,
        organisation: entry.organisation_name(),
        remaining: entry.deadline - context.clock.now(),
        last_event,
        priority: entry.rank(),
    };
    let mut request = Request::new(Full::new(entry.body.clone()));
    *request.method_mut() = entry.head.method.clone();
    let target = entry.head.uri.path_and_query()?.as_str();
    *request.uri_mut() = target.parse().ok()?;
    *request.headers_mut() = context.front.request_headers(&entry.head, &onward);
    Some(request)
}
