//! Strategies that select one of the upstreams that could serve a request.

use cactusglade_core::arena::Upstream;
use cactusglade_core::units::Millis;

/// `Candidate` describes an upstream that has a free slot for the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: Upstream,
    /// Whether the upstream is in the daemon's availability zone.
    pub same_zone: bool,
    /// Price of one slot per hour.
    pub price: f64,
    /// Whether the upstream's host can be reclaimed.
    pub reclaimable: bool,
    /// Number of requests of this daemon that run on the upstream.
    pub outstanding: u64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u64,
    /// Moving average of the time to the first token.
    pub first_token: Millis,
    /// Bytes of the prompt that the upstream has probably not cached.
    pub uncached_bytes: usize,
}

impl Candidate {
    #[allow(clippy::cast_precision_loss)]
    fn load(&self) -> f64 {
        self.outstanding as f64 / self.slots as f64
    }
}

/// `Demand` describes the request to a strategy.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Target of the time to the first token.
    pub first_token: Millis,
    /// Estimated cost of the request in tokens.
    pub tokens: u64,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// `Strategy` selects one of the candidates; it is fixed when the daemon starts.
pub trait Strategy {
    /// Returns the index of the selected candidate, or `None` if there are no candidates.
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Option<usize>;
}

/// `RoundRobin` selects the candidates in turn; it is a baseline for comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Strategy for RoundRobin {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % candidates.len())
    }
}

/// `LeastLoaded` selects the candidate with the least load; it is a baseline for comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Strategy for LeastLoaded {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Option<usize> {
        least(candidates, Candidate::load)
    }
}

/// `PrefixOnly` selects the candidate that has cached most of the prompt; it is a baseline for
/// comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixOnly;

impl Strategy for PrefixOnly {
    fn choose(&mut self, _demand: &Demand, candidates: &[Candidate]) -> Option<usize> {
        #[allow(clippy::cast_precision_loss)]
        least(candidates, |candidate| candidate.uncached_bytes as f64)
    }
}

/// Time that an engine needs to read one uncached byte, in milliseconds.
const PREFILL_MS_PER_BYTE: f64 = 0.01;
/// Penalty for another availability zone, in milliseconds.
const OTHER_ZONE_PENALTY_MS: f64 = 2.0;
/// Relative surcharge on a reclaimable slot per thousand tokens that a reclaim would lose.
const RISK_PER_THOUSAND_TOKENS: f64 = 0.02;

/// `Cheapest` selects the cheapest candidate that is expected to meet the latency target.
///
/// If none is, it selects the one with the least expected time to the first token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cheapest;

impl Cheapest {
    /// Returns the expected time to the first token in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    fn delay(candidate: &Candidate) -> f64 {
        let queue = candidate.first_token.0 as f64 * (1.0 + candidate.load());
        let prefill = candidate.uncached_bytes as f64 * PREFILL_MS_PER_BYTE;
        let distance = if candidate.same_zone {
            0.0
        } else {
            OTHER_ZONE_PENALTY_MS
        };
        queue + prefill + distance
    }

    /// Returns the expected cost: the slot's price, weighted by load, prefill and reclaim risk.
    #[allow(clippy::cast_precision_loss)]
    fn cost(demand: &Demand, candidate: &Candidate) -> f64 {
        let risk = if candidate.reclaimable {
            RISK_PER_THOUSAND_TOKENS * demand.tokens as f64 / 1_000.0
        } else {
            0.0
        };
        let work = Self::delay(candidate) + demand.tokens as f64;
        candidate.price * (1.0 + risk) * (1.0 + candidate.load()) * work
    }
}

impl Strategy for Cheapest {
    #[allow(clippy::cast_precision_loss)]
    fn choose(&mut self, demand: &Demand, candidates: &[Candidate]) -> Option<usize> {
        let target = demand.first_token.0 as f64;
        let cost = |candidate: &Candidate| {
            if Self::delay(candidate) <= target {
                Self::cost(demand, candidate)
            } else {
                f64::INFINITY
            }
        };
        let best = least(candidates, cost)?;
        if cost(&candidates[best]).is_finite() {
            return Some(best);
        }
        least(candidates, Self::delay)
    }
}

fn least(candidates: &[Candidate], measure: impl Fn(&Candidate) -> f64) -> Option<usize> {
    let measures = candidates.iter().map(measure).enumerate();
    measures
        .min_by(|(_, a), (_, b)| a.total_cmp(b))
        .map(|(index, _)| index)
}
