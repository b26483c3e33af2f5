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

/// `Question` is what connection tasks ask the owner.
pub enum Question {
    Call(Call, oneshot::Sender<Response<Body>>),
    Start(wire::Request, oneshot::Sender<Permit>),
    End,
}

/// `Permit` answers a request that wants to start.
pub enum Permit {
    Refused,
    Failed,
    Run(Run),
}

/// `Run` says how a request is to be answered.
pub struct Run {
    pub prefill: Duration,
    pub slowness: f64,
    pub crossed: bool,
    pub truncated: bool,
    pub duplicate: bool,
    pub die_after: Option<u64>,
    pub prompt_tokens: u64,
    pub computed_tokens: u64,
}

/// `Totals` since the start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Totals {
    pub requests: u64,
    /// Requests by version, failed ones included.
    pub versions: BTreeMap<String, u64>,
    pub computed_tokens: u64,
    pub resumed: u64,
}

struct Engine {
    options: Options,
    faults: Faults,
    running: usize,
    waiting: VecDeque<(wire::Request, oneshot::Sender<Permit>)>,
    cache: VecDeque<u64>,
    cached: BTreeSet<u64>,
    events: Vec<(Instant, u64)>,
    report: (Instant, wire::Load),
    versions: BTreeSet<String>,
    fence: u64,
    totals: Totals,
}

/// Owns the engine's state until every asker is gone.
pub async fn own(
    options: Options,
    mut mailbox: mpsc::Receiver<Question>,
    pace: watch::Sender<Duration>,
) {
    let mut engine = Engine::new(options);
    while let Some(question) = mailbox.recv().await {
        match question {
            Question::Call(call, reply) => {
                let _ = reply.send(engine.call(&call));
            }
            Question::Start(request, reply) => engine.arrive(request, reply),
            Question::End => engine.end(),
        }
        pace.send_replace(engine.pace());
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

    /// Time between tokens: it doubles from an idle to a full batch.
    #[allow(clippy::cast_precision_loss)]
    fn pace(&self) -> Duration {
        let fill = self.running as f64 / self.options.slots as f64;
        Duration::from_micros(self.options.token_us).mul_f64(1.0 + fill)
    }

    fn arrive(&mut self, request: wire::Request, reply: oneshot::Sender<Permit>) {
        if self.faults.refuse || !self.versions.contains(&request.version) {
            let _ = reply.send(Permit::Refused);
        } else if self.running < self.options.slots {
            self.start(&request, reply);
        } else {
            let before = |(other, _): &(wire::Request, _)| other.priority <= request.priority;
            let place = self
                .waiting
                .iter()
                .take_while(|waiting| before(waiting))
                .count();
            self.waiting.insert(place, (request, reply));
        }
    }

    fn start(&mut self, request: &wire::Request, reply: oneshot::Sender<Permit>) {
        let permit = self.permit(request);
        let runs = matches!(permit, Permit::Run(_));
        if reply.send(permit).is_ok() && runs {
            self.running += 1;
        }
    }

    fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
        while self.running < self.options.slots {
            let Some((request, reply)) = self.waiting.pop_front() else {
                break;
            };
            self.start(&request, reply);
        }
    }

    fn permit(&mut self, request: &wire::Request) -> Permit {
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
        let slowness = bad.map_or(1.0, |bad| bad.slow.max(1.0));
        if bad.is_some_and(|bad| rand::rng().random_bool(bad.fail.clamp(0.0, 1.0))) {
            return Permit::Failed;
        }
        let (prompt_tokens, computed) = self.read_prompt(request);
        self.totals.requests += 1;
        self.totals.computed_tokens += computed;
        self.totals.resumed += u64::from(!request.emitted.is_empty());
        let prefill = Duration::from_micros(computed * self.options.prefill_us);
        let faults = &mut self.faults;
        let die = take(&mut faults.die);
        Permit::Run(Run {
            prefill: prefill.mul_f64(slowness) + Duration::from_millis(faults.delay_ms),
            slowness,
            crossed: take(&mut faults.cross),
            truncated: take(&mut faults.truncate),
            duplicate: take(&mut faults.duplicate),
            die_after: die.then_some(faults.die_after),
            prompt_tokens,
            computed_tokens: computed,
        })
    }

    /// Tokens of the prompt, and how many of them and of the emitted ones were not cached.
    fn read_prompt(&mut self, request: &wire::Request) -> (u64, u64) {
        let whole = |tokens: usize| u64::try_from(tokens).unwrap_or(u64::MAX);
        let prompt_tokens = request.prompt.len().div_ceil(BYTES_PER_TOKEN);
        let blocks = blocks(&request.prompt);
        let known = blocks
            .iter()
            .take_while(|block| self.cached.contains(block))
            .count();
        for block in blocks {
            self.remember(block);
        }
        let computed = prompt_tokens.saturating_sub(known * BLOCK_TOKENS) + request.emitted.len();
        (whole(prompt_tokens), whole(computed))
    }

    fn remember(&mut self, block: u64) {
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
                let response = platform::set(&call.body, |imported| blocks = imported);
                for block in blocks {
                    self.remember(block);
                }
                response
            }
            "/v1/orders" => match serde_json::from_slice(&call.body) {
                Ok(order) => server::json(200, &self.order(&order)),
                Err(error) => server::whole(400, "text/plain", error.to_string()),
            },
            "/control/faults" => platform::set(&call.body, |faults| self.faults = faults),
            "/control/totals" => server::json(200, &self.totals),
            _ => server::whole(404, "text/plain", "there is no such path"),
        }
    }

    /// The load as it was some time ago.
    fn load(&mut self) -> wire::Load {
        let age = self.report.0.elapsed();
        if age >= Duration::from_millis(self.options.lag_ms) {
            let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
            let load = wire::Load {
                running: count(self.running),
                waiting: count(self.waiting.len()),
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

    /// Blocks that entered the cache some time ago, with gaps.
    fn cache_events(&self) -> Vec<u64> {
        let lag = Duration::from_millis(self.options.lag_ms);
        let gap = self.options.event_gap.max(2);
        let lost =
            |place: usize| u64::try_from(place + 1).is_ok_and(|number| number.is_multiple_of(gap));
        let events = self.events.iter().enumerate();
        let events = events.filter(|(place, (at, _))| at.elapsed() >= lag && !lost(*place));
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

fn take(count: &mut u64) -> bool {
    let due = *count > 0;
    *count = count.saturating_sub(1);
    due
}

fn blocks(prompt: &str) -> Vec<u64> {
    let mut before = 0_u64;
    let mut blocks = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
        before = hash(block) ^ before.rotate_left(7);
        blocks.push(before);
    }
    blocks
}

/// FNV-1a over some bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}
