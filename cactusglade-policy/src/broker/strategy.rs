//! Strategies that select one upstream for a request.

use cactusglade_core::arena::Upstream;

use super::PREFILL_TOKENS_PER_MS;

/// `Candidate` describes an upstream that could serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: Upstream,
    /// Whether the upstream is in the daemon's availability zone.
    pub is_same_zone: bool,
    /// Estimated number of running and waiting requests.
    pub load: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: f64,
    /// Prompt tokens that the upstream has not yet read: of this daemon's requests, and of long ones
    /// that other daemons have told of.
    pub backlog: f64,
    /// Estimated number of prompt tokens that the upstream has not cached.
    pub uncached: f64,
    /// Expected time for work relative to the usual time, 1 if nothing is known.
    pub pace: f64,
    /// Recent failure rate, from 0 to 1.
    pub failures: f64,
    /// Recent time to the head of an answer at the usual pace in milliseconds, zero for a model
    /// request.
    pub latency: f64,
}

/// `Strategy` selects one of the candidates; it is fixed when the daemon starts.
pub trait Strategy: Send + 'static {
    /// Returns the index of the selected candidate, or `None` if there are no candidates.
    fn choose(&self, candidates: &[Candidate], draw: f64) -> Option<usize>;
}

/// Cost per running or waiting request, in milliseconds: each lengthens an engine's step by about
/// 0.1 ms, over some dozens of steps until the first event and between events.
const LOAD_COST_MS: f64 = 1.5;
/// Cost per request beyond the slots, in milliseconds: an engine admits a waiting request when a
/// running one ends.
const QUEUE_COST_MS: f64 = 60.0;
/// Weight of the time to read a prompt: it also delays the requests that run alongside. Where
/// engines have just enough time for prompts that are cached, a session that moves makes the others
/// wait, and more of them move.
const PREFILL_WEIGHT: f64 = 1.5;
/// Cost of another availability zone, in milliseconds: a round trip of 2 to 3 ms, and the price of
/// the bytes transferred.
const OTHER_ZONE_COST_MS: f64 = 6.0;
/// Cost of an upstream that fails every request, in milliseconds: the time until a caller gives up.
const FAILURE_COST_MS: f64 = 3_000.0;
/// Difference of costs in milliseconds up to which the selection is random, so that not all daemons
/// select the same upstream.
const TIE_THRESHOLD_MS: f64 = 1.0;

/// `Fastest` selects the upstream with the least expected time to the first byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fastest;

impl Fastest {
    fn cost(candidate: &Candidate) -> f64 {
        let waiting = (candidate.load + 1.0 - candidate.slots).max(0.0);
        let prefill =
            (candidate.backlog + PREFILL_WEIGHT * candidate.uncached) / PREFILL_TOKENS_PER_MS;
        let busy = candidate.load / candidate.slots.max(1.0) * candidate.latency;
        let other_zone = if candidate.is_same_zone {
            0.0
        } else {
            OTHER_ZONE_COST_MS
        };
        let work = prefill + candidate.load * LOAD_COST_MS + busy + candidate.latency;
        work * candidate.pace
            + waiting * QUEUE_COST_MS
            + other_zone
            + candidate.failures * FAILURE_COST_MS
    }
}

impl Strategy for Fastest {
    fn choose(&self, candidates: &[Candidate], draw: f64) -> Option<usize> {
        let costs = candidates.iter().map(Self::cost).collect::<Vec<_>>();
        let least = costs.iter().copied().min_by(f64::total_cmp)?;
        let cheapest = (0..costs.len()).filter(|index| costs[*index] <= least + TIE_THRESHOLD_MS);
        let cheapest = cheapest.collect::<Vec<_>>();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let index = (cheapest.len() as f64 * draw.clamp(0.0, 1.0)) as usize;
        cheapest.get(index.min(cheapest.len() - 1)).copied()
    }
}
