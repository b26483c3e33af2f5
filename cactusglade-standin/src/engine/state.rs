//! The task that owns an engine stand-in's state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use cactusglade_wire::engine as wire;
use hyper::Response;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::engine::BYTES_PER_TOKEN;
use crate::engine::Faults;
use crate::engine::Options;
use crate::engine::Order;
use crate::engine::Outcome;
use crate::platform;
use crate::server;
use crate::server::Body;
use crate::server::Call;

const BLOCK_BYTES: usize = 256;
const BLOCK_TOKENS: usize = BLOCK_BYTES / BYTES_PER_TOKEN;

/// `Message` is sent by connection tasks to the task that owns the state.
pub enum Message {
    /// A call other than a generation.
    Call(Call, oneshot::Sender<Response<Body>>),
    /// A request to generate; the answer may wait for a free slot.
    Submit(wire::Request, oneshot::Sender<Admission>),
    /// The end of an answer, which frees a slot.
    Finished,
}

/// `Admission` is the decision on a submitted request.
pub enum Admission {
    /// The request is refused, and nothing was executed.
    Refused,
    /// The request fails, as requests of bad versions do.
    Failed,
    /// The request runs.
    Run(Run),
}

/// `Run` describes how a request is answered.
pub struct Run {
    /// Time before the first token, injected delay included.
    pub prefill: Duration,
    /// Factor on the interval between tokens.
    pub slowdown: f64,
    pub crossed: bool,
    pub truncated: bool,
    pub duplicate: bool,
    pub die_after: Option<u64>,
    pub prompt_tokens: u64,
    pub computed_tokens: u64,
}

/// `Totals` counts requests and tokens since the start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Totals {
    /// Requests that were admitted, failed ones excluded.
    pub requests: u64,
    /// Requests by version, failed ones included.
    pub versions: BTreeMap<String, u64>,
    /// Prompt and emitted tokens that were not cached.
    pub computed_tokens: u64,
    /// Requests that continue the answer of an earlier attempt.
    pub resumed: u64,
}

struct Engine {
    options: Options,
    faults: Faults,
    running: usize,
    waiting: VecDeque<(wire::Request, oneshot::Sender<Admission>)>,
    /// Hashes of the cached blocks, oldest first; eviction is first in, first out.
    cache: VecDeque<u64>,
    /// The same hashes as a set.
    cached: BTreeSet<u64>,
    events: Vec<(Instant, u64)>,
    /// Latest load report and the time at which it was made.
    report: (Instant, wire::Load),
    versions: BTreeSet<String>,
    /// Greatest fencing token seen.
    fence: u64,
    totals: Totals,
}

/// Owns the engine's state and handles messages until all senders have been dropped.
pub async fn serve(
    options: Options,
    mut mailbox: mpsc::Receiver<Message>,
    interval: watch::Sender<Duration>,
) {
    let mut engine = Engine::new(options);
    while let Some(message) = mailbox.recv().await {
        match message {
            Message::Call(call, reply) => {
                let _ = reply.send(engine.call(&call));
            }
            Message::Submit(request, reply) => engine.submit(request, reply),
            Message::Finished => engine.finish(),
        }
        interval.send_replace(engine.token_interval());
    }
}

impl Engine {
    fn new(options: Options) -> Self {
        Self {
            versions: options.versions.iter().cloned().collect(),
            options,
            faults: Faults::default(),
            running: 0,
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            cached: BTreeSet::new(),
            events: Vec::new(),
            report: (Instant::now(), wire::Load::default()),
            fence: 0,
            totals: Totals::default(),
        }
    }

    /// Returns the interval between tokens, which doubles from an idle engine to a full batch.
    #[allow(clippy::cast_precision_loss)]
    fn token_interval(&self) -> Duration {
        let fill = self.running as f64 / self.options.slots as f64;
        Duration::from_micros(self.options.token_us).mul_f64(1.0 + fill)
    }

    fn submit(&mut self, request: wire::Request, reply: oneshot::Sender<Admission>) {
        if self.faults.refuse || !self.versions.contains(&request.version) {
            let _ = reply.send(Admission::Refused);
        } else if self.running < self.options.slots {
            self.start(&request, reply);
        } else {
            let precedes = |(other, _): &(wire::Request, _)| other.priority <= request.priority;
            let index = self
                .waiting
                .iter()
                .take_while(|waiting| precedes(waiting))
                .count();
            self.waiting.insert(index, (request, reply));
        }
    }

    fn start(&mut self, request: &wire::Request, reply: oneshot::Sender<Admission>) {
        let admission = self.admit(request);
        let runs = matches!(admission, Admission::Run(_));
        if reply.send(admission).is_ok() && runs {
            self.running += 1;
        }
    }

    fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
        while self.running < self.options.slots {
            let Some((request, reply)) = self.waiting.pop_front() else {
                break;
            };
            self.start(&request, reply);
        }
    }

    fn admit(&mut self, request: &wire::Request) -> Admission {
        let served = self
            .totals
            .versions
            .entry(request.version.clone())
            .or_default();
        *served += 1;
        let served = *served;
        let bad = self.faults.versions.get(&request.version).filter(|bad| {
            served > bad.after_requests
                && u64::try_from(self.running).unwrap_or(u64::MAX) >= bad.from_running
                && u64::try_from(request.prompt.len()).unwrap_or(u64::MAX) >= bad.from_prompt_bytes
        });
        let slowdown = bad.map_or(1.0, |bad| bad.slow.max(1.0));
        if bad.is_some_and(|bad| rand::rng().random_bool(bad.fail.clamp(0.0, 1.0))) {
            return Admission::Failed;
        }
        let (prompt_tokens, computed) = self.cache_prompt(request);
        self.totals.requests += 1;
        self.totals.computed_tokens += computed;
        self.totals.resumed += u64::from(!request.emitted.is_empty());
        let prefill = Duration::from_micros(computed * self.options.prefill_us);
        let faults = &mut self.faults;
        let die = consume(&mut faults.die);
        Admission::Run(Run {
            prefill: prefill.mul_f64(slowdown) + Duration::from_millis(faults.delay_ms),
            slowdown,
            crossed: consume(&mut faults.cross),
            truncated: consume(&mut faults.truncate),
            duplicate: consume(&mut faults.duplicate),
            die_after: die.then_some(faults.die_after),
            prompt_tokens,
            computed_tokens: computed,
        })
    }

    /// Adds the prompt's blocks to the cache. Returns the number of prompt tokens, and the number
    /// of prompt and emitted tokens that have to be computed because they were not cached.
    fn cache_prompt(&mut self, request: &wire::Request) -> (u64, u64) {
        let to_u64 = |tokens: usize| u64::try_from(tokens).unwrap_or(u64::MAX);
        let prompt_tokens = request.prompt.len().div_ceil(BYTES_PER_TOKEN);
        let blocks = block_hashes(&request.prompt);
        let hits = blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        for block in blocks {
            self.cache_block(block);
        }
        let computed = prompt_tokens.saturating_sub(hits * BLOCK_TOKENS) + request.emitted.len();
        (to_u64(prompt_tokens), to_u64(computed))
    }

    fn cache_block(&mut self, block: u64) {
        if !self.cached.insert(block) {
            return;
        }
        self.cache.push_back(block);
        self.events.push((Instant::now(), block));
        if self.cache.len() > self.options.cache_blocks
            && let Some(oldest) = self.cache.pop_front()
        {
            self.cached.remove(&oldest);
        }
    }

    fn call(&mut self, call: &Call) -> Response<Body> {
        match call.path.as_str() {
            wire::LOAD_PATH => server::json(200, &self.load()),
            "/v1/cache/events" => server::json(200, &self.cache_events()),
            "/v1/kv/export" => server::json(200, &self.cache),
            "/v1/kv/import" => {
                let mut blocks: Vec<u64> = Vec::new();
                let response = platform::apply_control(&call.body, |imported| blocks = imported);
                for block in blocks {
                    self.cache_block(block);
                }
                response
            }
            "/v1/orders" => match serde_json::from_slice(&call.body) {
                Ok(order) => server::json(200, &self.order(&order)),
                Err(error) => server::full(400, "text/plain", error.to_string()),
            },
            "/control/faults" => platform::apply_control(&call.body, |faults| self.faults = faults),
            "/control/totals" => server::json(200, &self.totals),
            _ => server::full(404, "text/plain", "there is no such path"),
        }
    }

    /// Returns the load report, renewed once it is older than the configured lag.
    fn load(&mut self) -> wire::Load {
        let age = self.report.0.elapsed();
        if age >= Duration::from_millis(self.options.lag_ms) {
            let to_u64 = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
            let load = wire::Load {
                running: to_u64(self.running),
                waiting: to_u64(self.waiting.len()),
                age_ms: 0,
            };
            self.report = (Instant::now(), load);
        }
        let age_ms = u64::try_from(self.report.0.elapsed().as_millis()).unwrap_or(u64::MAX);
        wire::Load {
            age_ms,
            ..self.report.1
        }
    }

    /// Returns the blocks cached at least the configured lag ago, with some events lost.
    fn cache_events(&self) -> Vec<u64> {
        let lag = Duration::from_millis(self.options.lag_ms);
        let gap = self.options.event_gap.max(2);
        let lost =
            |index: usize| u64::try_from(index + 1).is_ok_and(|number| number.is_multiple_of(gap));
        let events = self.events.iter().enumerate();
        let events = events.filter(|(index, (at, _))| at.elapsed() >= lag && !lost(*index));
        events.map(|(_, (_, block))| *block).collect()
    }

    fn order(&mut self, order: &Order) -> Outcome {
        let accepted = !self.options.fencing || order.fence >= self.fence;
        self.fence = self.fence.max(order.fence);
        if accepted && order.loaded {
            self.versions.insert(order.version.clone());
        } else if accepted {
            self.versions.remove(&order.version);
        }
        let versions = self.versions.iter().cloned().collect();
        Outcome {
            accepted,
            fence: self.fence,
            versions,
        }
    }
}

/// Decrements a counter of pending faults; returns whether there was one.
fn consume(count: &mut u64) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

/// Returns a hash for each full block of a prompt; each depends on all blocks before it.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut previous = 0_u64;
    let mut blocks = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        previous = hash(block) ^ previous.rotate_left(7);
        blocks.push(previous);
    }
    blocks
}

/// Returns the 64-bit FNV-1a hash of some bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
