//! Stand-in for a companion service with idempotent status checks and non-idempotent bookings.
//!
//! Each execution of a booking is recorded in a journal, which tests read at `/control/journal`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use cactusglade_wire::header;
use hyper::Response;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::platform;
use crate::server;
use crate::server::Body;
use crate::server::Call;
use crate::server::Cut;
use crate::server::Result;
use crate::server::Standin;

/// `Faults` is the set of faults that the service injects until the next `/control/faults` call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every call with 503 and `x-ran: no`, which states that nothing was executed.
    pub refuse: bool,
    /// Delay in milliseconds between the execution of a call and its answer.
    pub delay_ms: u64,
    /// Delay in milliseconds before a call is executed.
    pub delay_before_ms: u64,
    /// Number of calls to execute whose answer is then lost: the connection is cut.
    pub lose_answers: u64,
    /// Number of answers to send with a wrong attempt identifier.
    pub cross_answers: u64,
    /// Number of answers to cut off after half of the body.
    pub cut_answers: u64,
}

/// `Run` is one execution of a booking.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Request identifier that the daemon sent.
    pub request: String,
    /// Attempt identifier that the daemon sent.
    pub attempt: String,
    /// Name of the organisation that the daemon sent.
    pub organisation: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
    /// Body of the call, as text.
    pub body: String,
    /// Time of the execution in milliseconds since the stand-in started.
    pub at_ms: u64,
}

struct Service {
    started: std::time::Instant,
    journal: Vec<Run>,
    bookings: BTreeMap<u64, String>,
    last_attempt: String,
    faults: Faults,
}

struct Message {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

/// `Ending` is the way in which an answer ends.
enum Ending {
    Complete,
    /// The connection is cut before the answer.
    Lost,
    /// The connection is cut after half of the body.
    Truncated,
}

struct Reply {
    status: u16,
    body: String,
    attempt: String,
    /// Whether the answer states with `x-ran: no` that nothing was executed.
    not_run: bool,
    delay_ms: u64,
    ending: Ending,
}

/// Starts a service stand-in that listens on an address.
///
/// # Errors
///
/// Returns the I/O error if the address can't be bound.
pub async fn start(address: SocketAddr) -> std::io::Result<Standin> {
    const MAILBOX_CAPACITY: usize = 256;
    let (owner, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (delay, delays) = tokio::sync::watch::channel(0);
    tokio::spawn(serve(Service::new(), mailbox, delay));
    server::start(address, move |call| {
        ask(owner.clone(), delays.clone(), call)
    })
    .await
}

async fn ask(
    owner: mpsc::Sender<Message>,
    delays: tokio::sync::watch::Receiver<u64>,
    call: Call,
) -> Result<Response<Body>> {
    if !call.path.starts_with("/control/") {
        let milliseconds = *delays.borrow();
        server::delay(milliseconds).await;
    }
    let (reply, answer) = oneshot::channel();
    owner.send(Message { call, reply }).await.map_err(|_| Cut)?;
    let reply = answer.await.map_err(|_| Cut)?;
    server::delay(reply.delay_ms).await;
    respond(reply).await
}

async fn respond(reply: Reply) -> Result<Response<Body>> {
    let mut response = match reply.ending {
        Ending::Lost => return Err(Cut),
        Ending::Complete => server::full(reply.status, "application/json", reply.body),
        Ending::Truncated => {
            let (frames, receiver) = mpsc::channel(2);
            let half = reply.body.as_bytes()[..reply.body.len() / 2].to_vec();
            // The channel has room for both frames, so neither send waits or fails.
            let _ = frames.send(Ok(Bytes::from(half))).await;
            let _ = frames.send(Err(Cut)).await;
            server::streamed("application/json", receiver)
        }
    };
    if let Ok(value) = reply.attempt.parse() {
        response.headers_mut().insert(header::ATTEMPT, value);
    }
    if reply.not_run {
        let no = hyper::header::HeaderValue::from_static("no");
        response.headers_mut().insert(header::RAN, no);
    }
    Ok(response)
}

async fn serve(
    mut service: Service,
    mut mailbox: mpsc::Receiver<Message>,
    delay: tokio::sync::watch::Sender<u64>,
) {
    while let Some(message) = mailbox.recv().await {
        let reply = service.answer(&message.call);
        delay.send_replace(service.faults.delay_before_ms);
        // Fails if the client has disconnected.
        let _ = message.reply.send(reply);
    }
}

impl Service {
    fn new() -> Self {
        Self {
            started: std::time::Instant::now(),
            journal: Vec::new(),
            bookings: BTreeMap::new(),
            last_attempt: String::new(),
            faults: Faults::default(),
        }
    }

    fn answer(&mut self, call: &Call) -> Reply {
        let attempt = call.header(header::ATTEMPT).unwrap_or_default();
        if let Some(control) = call.path.strip_prefix("/control/") {
            return self.control(control, call);
        }
        if self.faults.refuse {
            let body = "{\"error\":\"refused\"}".to_owned();
            return Reply {
                not_run: true,
                ..complete(503, body, attempt)
            };
        }
        let (status, body) = match call.method.as_str() {
            "POST" => (201, self.book(call)),
            _ => (200, self.status(call)),
        };
        let echoed = self.echo(&attempt);
        let ending = self.ending();
        self.last_attempt = attempt;
        Reply {
            delay_ms: self.faults.delay_ms,
            ending,
            ..complete(status, body, echoed)
        }
    }

    fn echo(&mut self, attempt: &str) -> String {
        if self.faults.cross_answers > 0 {
            self.faults.cross_answers -= 1;
            return format!("{}-crossed", self.last_attempt);
        }
        attempt.to_owned()
    }

    fn ending(&mut self) -> Ending {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            Ending::Lost
        } else if self.faults.cut_answers > 0 {
            self.faults.cut_answers -= 1;
            Ending::Truncated
        } else {
            Ending::Complete
        }
    }

    fn book(&mut self, call: &Call) -> String {
        let number = u64::try_from(self.journal.len()).unwrap_or(u64::MAX);
        let body = String::from_utf8_lossy(&call.body).into_owned();
        self.journal.push(Run {
            request: call.header(header::REQUEST).unwrap_or_default(),
            attempt: call.header(header::ATTEMPT).unwrap_or_default(),
            organisation: call.header(header::ORGANISATION).unwrap_or_default(),
            key: call.header(header::IDEMPOTENCY_KEY),
            body: body.clone(),
            at_ms: u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        });
        self.bookings.insert(number, body.clone());
        serde_json::json!({ "booking": number, "body": body }).to_string()
    }

    fn status(&self, call: &Call) -> String {
        let number = call
            .path
            .rsplit('/')
            .next()
            .and_then(|last| last.parse().ok());
        let booking = number.and_then(|number: u64| self.bookings.get(&number));
        serde_json::json!({ "path": call.path, "booking": booking }).to_string()
    }

    fn control(&mut self, path: &str, call: &Call) -> Reply {
        let journal = || serde_json::to_string(&self.journal).unwrap_or_default();
        match path {
            "journal" => complete(200, journal(), String::new()),
            "faults" => {
                let response = platform::apply_control(&call.body, |faults| self.faults = faults);
                complete(response.status().as_u16(), String::new(), String::new())
            }
            _ => complete(404, String::new(), String::new()),
        }
    }
}

fn complete(status: u16, body: String, attempt: String) -> Reply {
    Reply {
        status,
        body,
        attempt,
        not_run: false,
        delay_ms: 0,
        ending: Ending::Complete,
    }
}
