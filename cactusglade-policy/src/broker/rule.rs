//! Rules that choose one upstream for a request.

use cactusglade_core::arena::Upstream;

use super::PREFILL_PER_MS;

/// `Candidate` is what a rule may know of an upstream that could take the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its key.
    pub upstream: Upstream,
    /// Whether it stands in the daemon's own availability zone.
    pub is_near: bool,
    /// Requests that it works on or holds waiting, as far as is known.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Tokens of this daemon's prompts that it has still to read.
    pub backlog: f64,
    /// Tokens of the prompt that it would have to read.
    pub uncached: f64,
    /// Recent share of failures, from 0 to 1.
    pub failures: f64,
    /// Recent time to its answers in milliseconds, where it is no engine.
    pub latency: f64,
}

/// `Rule` chooses one of the candidates; it is fixed when the daemon starts.
pub trait Rule: Send + 'static {
    /// The place of the chosen candidate, or nothing where there is none.
    fn choose(&self, candidates: &[Candidate], draw: f64) -> Option<usize>;
}

/// Cost of a request that an engine works on already: it lengthens each step by about a tenth of
/// a millisecond, over some dozens of steps until the first event and between events.
const LOAD_MS: f64 = 1.5;
/// Cost of a request that waits before this one: an engine admits one whenever another ends.
const QUEUE_MS: f64 = 60.0;
/// Cost of leaving the zone: two ways of one to one and a half milliseconds, and priced bytes.
const FAR_MS: f64 = 6.0;
/// Cost of an upstream that fails every request: the time until a caller would have given up.
const FAILURE_MS: f64 = 3_000.0;
/// Differences below this are decided by the draw, so that daemons do not all choose the same.
const TIE_MS: f64 = 1.0;

/// `Shortest` chooses the upstream with the least expected time to the answer's first byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortest;

impl Shortest {
    fn cost(candidate: &Candidate) -> f64 {
        let waiting = (candidate.load + 1.0 - candidate.slots).max(0.0);
        let prefill = (candidate.backlog + candidate.uncached) / PREFILL_PER_MS;
        let busy = candidate.load / candidate.slots.max(1.0) * candidate.latency;
        let far = if candidate.is_near { 0.0 } else { FAR_MS };
        prefill
            + candidate.load * LOAD_MS
            + busy
            + candidate.latency
            + waiting * QUEUE_MS
            + far
            + candidate.failures * FAILURE_MS
    }
}

impl Rule for Shortest {
    fn choose(&self, candidates: &[Candidate], draw: f64) -> Option<usize> {
        let costs = candidates.iter().map(Self::cost).collect::<Vec<_>>();
        let least = costs.iter().copied().min_by(f64::total_cmp)?;
        let best = (0..costs.len()).filter(|place| costs[*place] <= least + TIE_MS);
        let best = best.collect::<Vec<_>>();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let place = (best.len() as f64 * draw.clamp(0.0, 1.0)) as usize;
        best.get(place.min(best.len() - 1)).copied()
    }
}
