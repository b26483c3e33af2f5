//! Stand-in for a model engine: batches requests, streams tokens, caches prompt prefixes and
//! executes orders to load and unload versions.
//!
//! Each token is a function of the prompt and the token's index, so that a client can check that an
//! answer is complete and belongs to its prompt.

mod faults;
mod orders;
mod state;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_wire::engine as wire;
use cactusglade_wire::header;
use hyper::Response;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::server;
use crate::server::Body;
use crate::server::Call;
use crate::server::Cut;
use crate::server::Result;
use crate::server::Standin;

pub use faults::Bad;
pub use faults::Faults;
pub use orders::Order;
pub use orders::Outcome;

use state::Admission;
use state::Message;

/// `Options` is the configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of requests that run concurrently, 16 by default.
    pub slots: usize,
    /// Interval between tokens on an idle engine in microseconds, 2,000 by default.
    pub token_us: u64,
    /// Prefill time in microseconds for each prompt token that is not cached, 20 by default.
    pub prefill_us: u64,
    /// Capacity of the prefix cache in blocks of prompt, 4,096 by default.
    pub cache_blocks: usize,
    /// Lag of load reports and cache events in milliseconds, 500 by default.
    pub lag_ms: u64,
    /// One of this many cache events is lost, 10 by default; values below 2 count as 2.
    pub event_gap: u64,
    /// Names of the versions that are loaded initially.
    pub versions: Vec<String>,
    /// Whether orders with a stale fencing token are refused, false by default.
    pub fencing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            token_us: 2_000,
            prefill_us: 20,
            cache_blocks: 4_096,
            lag_ms: 500,
            event_gap: 10,
            versions: Vec::new(),
            fencing: false,
        }
    }
}

/// Number of bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the text of the token at an index of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    // 2^64 divided by the golden ratio, as in Fibonacci hashing.
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (state::hash(prompt.as_bytes()) ^ index).wrapping_mul(MULTIPLIER);
    format!("{:06x} ", mixed >> 40)
}

/// Returns the number of tokens in the complete answer to a prompt.
#[must_use]
pub fn length(_prompt: &str, max_tokens: u64) -> u64 {
    max_tokens
}

/// Starts an engine stand-in that listens on an address.
///
/// # Errors
///
/// Returns the I/O error if the address can't be bound.
pub async fn start(address: SocketAddr, options: Options) -> std::io::Result<Standin> {
    const MAILBOX_CAPACITY: usize = 256;
    let (owner, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
    let (interval, intervals) = watch::channel(Duration::from_micros(options.token_us));
    tokio::spawn(state::serve(options, mailbox, interval));
    server::start(address, move |call| {
        answer(owner.clone(), intervals.clone(), call)
    })
    .await
}

async fn answer(
    owner: mpsc::Sender<Message>,
    intervals: watch::Receiver<Duration>,
    call: Call,
) -> Result<Response<Body>> {
    if call.path == wire::GENERATE_PATH {
        return generate(owner, intervals, &call).await;
    }
    let (reply, answer) = oneshot::channel();
    owner
        .send(Message::Call(call, reply))
        .await
        .map_err(|_| Cut)?;
    answer.await.map_err(|_| Cut)
}

async fn generate(
    owner: mpsc::Sender<Message>,
    intervals: watch::Receiver<Duration>,
    call: &Call,
) -> Result<Response<Body>> {
    const FRAME_CAPACITY: usize = 16;
    let Ok(request) = serde_json::from_slice::<wire::Request>(&call.body) else {
        return Ok(server::full(400, "text/plain", "this is no request"));
    };
    let (reply, answer) = oneshot::channel();
    owner
        .send(Message::Submit(request.clone(), reply))
        .await
        .map_err(|_| Cut)?;
    let admission = answer.await.map_err(|_| Cut)?;
    let mut response = match admission {
        Admission::Refused => {
            let mut response = server::full(503, "text/plain", "refused");
            let no = hyper::header::HeaderValue::from_static("no");
            response.headers_mut().insert(header::RAN, no);
            response
        }
        Admission::Failed => server::full(500, "text/plain", "the version fails"),
        Admission::Run(run) => {
            let (frames, receiver) = mpsc::channel(FRAME_CAPACITY);
            tokio::spawn(stream(request, run, intervals, frames, owner));
            server::streamed("application/x-ndjson", receiver)
        }
    };
    if let Some(attempt) = call.header(header::ATTEMPT)
        && let Ok(value) = attempt.parse()
    {
        response.headers_mut().insert(header::ATTEMPT, value);
    }
    Ok(response)
}

/// Streams one answer, and notifies the owning task when it has ended, completely or not.
async fn stream(
    request: wire::Request,
    run: state::Run,
    intervals: watch::Receiver<Duration>,
    frames: mpsc::Sender<Result<Bytes>>,
    owner: mpsc::Sender<Message>,
) {
    tokio::select! {
        () = emit(&request, &run, &intervals, &frames) => {}
        // A client that disconnects cancels the request.
        () = frames.closed() => {}
    }
    // Fails only while the stand-in stops, when the owning task has ended.
    let _ = owner.send(Message::Finished).await;
}

async fn emit(
    request: &wire::Request,
    run: &state::Run,
    intervals: &watch::Receiver<Duration>,
    frames: &mpsc::Sender<Result<Bytes>>,
) {
    tokio::time::sleep(run.prefill).await;
    let start = u64::try_from(request.emitted.len()).unwrap_or(u64::MAX);
    let total = length(&request.prompt, request.max_tokens);
    let attempt = if run.crossed {
        "crossed".to_owned()
    } else {
        request.attempt.clone()
    };
    // A crossed answer is a complete answer to another prompt.
    let prompt = if run.crossed {
        format!("another {}", request.prompt)
    } else {
        request.prompt.clone()
    };
    let mut due = tokio::time::Instant::now();
    for index in start..total {
        if run.die_after.is_some_and(|tokens| index - start >= tokens) {
            let _ = frames.send(Err(Cut)).await;
            return;
        }
        due += intervals.borrow().mul_f64(run.slowdown);
        tokio::time::sleep_until(due).await;
        let text = token(&prompt, index);
        let event = wire::Event::Token {
            attempt: attempt.clone(),
            index,
            text,
        };
        let copies = if run.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            if frames.send(Ok(line(&event))).await.is_err() {
                return;
            }
        }
    }
    let done = wire::Event::Done {
        attempt,
        total,
        prompt_tokens: run.prompt_tokens,
        computed_tokens: run.computed_tokens + total.saturating_sub(start),
    };
    if !run.truncated {
        // Fails if the client has disconnected.
        let _ = frames.send(Ok(line(&done))).await;
    }
}

fn line(event: &wire::Event) -> Bytes {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
