//! Stand-in for a model engine: batches, streams tokens, caches prefixes, takes orders.
//!
//! Tokens are a function of the prompt and their number, so that anybody can tell whether an
//! answer is whole and whose it is.

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

use state::Permit;
use state::Question;

/// `Options` of an engine stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Requests that are worked on at once, 16 by default.
    pub slots: usize,
    /// Microseconds between tokens while one request runs, 2,000 by default.
    pub token_us: u64,
    /// Microseconds for each prompt token that is not cached, 20 by default.
    pub prefill_us: u64,
    /// Blocks of prompt that the cache holds, 4,096 by default.
    pub cache_blocks: usize,
    /// Age of load reports and cache events in milliseconds, 500 by default.
    pub lag_ms: u64,
    /// Of this many cache events one is lost, 10 by default.
    pub event_gap: u64,
    /// Names of the versions that are loaded at the start.
    pub versions: Vec<String>,
    /// Whether orders with an old fencing number are refused, false by default.
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

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The text of one token of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u64) -> String {
    const PRIME: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed = (state::hash(prompt.as_bytes()) ^ index).wrapping_mul(PRIME);
    format!("{:06x} ", mixed >> 40)
}

/// How many tokens the whole answer to a prompt has.
#[must_use]
pub fn length(_prompt: &str, max_tokens: u64) -> u64 {
    max_tokens
}

/// Starts an engine stand-in.
///
/// # Errors
///
/// Returns the error of the socket when it can't be bound.
pub async fn start(address: SocketAddr, options: Options) -> std::io::Result<Standin> {
    const MAILBOX: usize = 256;
    let (questions, mailbox) = mpsc::channel(MAILBOX);
    let (pace, paces) = watch::channel(Duration::from_micros(options.token_us));
    tokio::spawn(state::own(options, mailbox, pace));
    server::start(address, move |call| {
        answer(questions.clone(), paces.clone(), call)
    })
    .await
}

async fn answer(
    questions: mpsc::Sender<Question>,
    paces: watch::Receiver<Duration>,
    call: Call,
) -> Result<Response<Body>> {
    if call.path == wire::GENERATE_PATH {
        return generate(questions, paces, &call).await;
    }
    let (reply, answer) = oneshot::channel();
    questions
        .send(Question::Call(call, reply))
        .await
        .map_err(|_| Cut)?;
    answer.await.map_err(|_| Cut)
}

async fn generate(
    questions: mpsc::Sender<Question>,
    paces: watch::Receiver<Duration>,
    call: &Call,
) -> Result<Response<Body>> {
    const FRAMES: usize = 16;
    let Ok(request) = serde_json::from_slice::<wire::Request>(&call.body) else {
        return Ok(server::whole(400, "text/plain", "this is no request"));
    };
    let (reply, answer) = oneshot::channel();
    questions
        .send(Question::Start(request.clone(), reply))
        .await
        .map_err(|_| Cut)?;
    let permit = answer.await.map_err(|_| Cut)?;
    let mut response = match permit {
        Permit::Refused => {
            let mut response = server::whole(503, "text/plain", "refused");
            let no = hyper::header::HeaderValue::from_static("no");
            response.headers_mut().insert(header::RAN, no);
            response
        }
        Permit::Failed => server::whole(500, "text/plain", "the version fails"),
        Permit::Run(run) => {
            let (frames, receiver) = mpsc::channel(FRAMES);
            tokio::spawn(stream(request, run, paces, frames, questions));
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

/// Sends one answer, and tells the owner when it has ended in whatever way.
async fn stream(
    request: wire::Request,
    run: state::Run,
    paces: watch::Receiver<Duration>,
    frames: mpsc::Sender<Result<Bytes>>,
    questions: mpsc::Sender<Question>,
) {
    tokio::select! {
        () = emit(&request, &run, &paces, &frames) => {}
        // A caller that hangs up cancels the request.
        () = frames.closed() => {}
    }
    // The owner has gone when the stand-in is being stopped.
    let _ = questions.send(Question::End).await;
}

async fn emit(
    request: &wire::Request,
    run: &state::Run,
    paces: &watch::Receiver<Duration>,
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
    // A crossed answer is the whole answer to another prompt.
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
        due += paces.borrow().mul_f64(run.slowness);
        tokio::time::sleep_until(due).await;
        let text = token(&prompt, index);
        let event = wire::Event::Token {
            attempt: attempt.clone(),
            index,
            text,
        };
        let times = if run.duplicate { 2 } else { 1 };
        for _ in 0..times {
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
        // The caller may have hung up by now.
        let _ = frames.send(Ok(line(&done))).await;
    }
}

fn line(event: &wire::Event) -> Bytes {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
