//! Strategies that select one upstream for a request.

use cactusglade_core::arena::Upstream;
use cactusglade_core::units::Millis;

use super::PREFILL_TOKENS_PER_MS;
use crate::pace::FIRST_EVENT;

/// `Candidate` describes an upstream that could serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: Upstream,
    /// Rank of the upstream among those of the session, from 1; `None` if it is none of them. It is
    /// for the log only.
    pub rank: Option<u64>,
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
    fn choose(&self, candidates: &[Candidate], terms: &Terms, draw: f64) -> Option<usize>;

    /// Returns the cost of a candidate in milliseconds, by which candidates are compared.
    fn cost(&self, candidate: &Candidate, terms: &Terms) -> f64;

    /// Returns the expected time to the first event of a request with a prompt in milliseconds.
    fn expected(&self, candidate: &Candidate, terms: &Terms) -> f64;
}

/// `Terms` is what the cost of a request depends on besides the candidate.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Prompt tokens that an upstream of usual pace reads per millisecond.
    pub tokens_per_ms: f64,
    /// Latency target of a request with a prompt, for latency-critical services.
    pub target: Option<Millis>,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
            target: None,
        }
    }
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
/// Expected time to the first event relative to the latency target, at which an answer is probably in
/// time and probably late.
const LATENESS_RAMP: (f64, f64) = (0.8, 1.2);
/// Difference of costs in milliseconds up to which the selection is random, so that not all daemons
/// select the same upstream.
const TIE_THRESHOLD_MS: f64 = 1.0;

/// `Fastest` selects the upstream with the least expected time to the first byte.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fastest;

impl Fastest {
    fn expected_cost(candidate: &Candidate, terms: &Terms) -> f64 {
        let waiting = (candidate.load + 1.0 - candidate.slots).max(0.0);
        let prefill =
            (candidate.backlog + PREFILL_WEIGHT * candidate.uncached) / terms.tokens_per_ms;
        let busy = candidate.load / candidate.slots.max(1.0) * candidate.latency;
        let other_zone = if candidate.is_same_zone {
            0.0
        } else {
            OTHER_ZONE_COST_MS
        };
        let shared = prefill + candidate.load * LOAD_COST_MS + waiting * QUEUE_COST_MS;
        // With the whole pace, most sessions of slow engines moved, their prompts were read again
        // elsewhere, and the quick engines were overloaded at high load (docs/design/pace.md).
        shared * candidate.pace.sqrt()
            + (busy + candidate.latency) * candidate.pace
            + other_zone
            + candidate.failures * FAILURE_COST_MS
            + terms
                .target
                .map_or(0.0, |target| Self::lateness(candidate, terms, target))
    }

    /// Returns the cost of being late: callers get as little from a late answer as from one that
    /// takes another target's time. It rises around the target, since times are estimates.
    #[allow(clippy::cast_precision_loss)]
    fn lateness(candidate: &Candidate, terms: &Terms, target: Millis) -> f64 {
        let expected = Self::first_event(candidate, terms);
        let target = target.0.max(1) as f64;
        let (earliest, latest) = LATENESS_RAMP;
        let share = (expected / target - earliest) / (latest - earliest);
        share.clamp(0.0, 1.0) * target
    }

    #[allow(clippy::cast_precision_loss)]
    fn first_event(candidate: &Candidate, terms: &Terms) -> f64 {
        let waiting = (candidate.load + 1.0 - candidate.slots).max(0.0);
        let read = (candidate.backlog + candidate.uncached) / terms.tokens_per_ms;
        FIRST_EVENT.0 as f64
            + candidate.pace * (read + candidate.load * LOAD_COST_MS + waiting * QUEUE_COST_MS)
    }
}

impl Strategy for Fastest {
    fn choose(&self, candidates: &[Candidate], terms: &Terms, draw: f64) -> Option<usize> {
        let costs = candidates.iter().map(|one| Self::expected_cost(one, terms));
        let costs = costs.collect::<Vec<_>>();
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

    fn cost(&self, candidate: &Candidate, terms: &Terms) -> f64 {
        Self::expected_cost(candidate, terms)
    }

    fn expected(&self, candidate: &Candidate, terms: &Terms) -> f64 {
        Self::first_event(candidate, terms)
    }
}
