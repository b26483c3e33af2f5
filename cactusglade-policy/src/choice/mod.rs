//! Rules that choose one upstream among those that could take a request.

use cactusglade_core::arena::Upstream;
use cactusglade_core::units::Millis;

/// `Candidate` is what a rule may know of one upstream that could take the request now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Its key.
    pub upstream: Upstream,
    /// Whether it stands in the daemon's own availability zone.
    pub near: bool,
    /// Price of one slot for an hour.
    pub price: f64,
    /// Whether its host can be reclaimed.
    pub reclaimable: bool,
    /// Requests of this daemon that it works on.
    pub outstanding: u64,
    /// Requests that it works on at once.
    pub slots: u64,
    /// Recent time to its first token.
    pub first_token: Millis,
    /// Bytes of the prompt that it would have to read.
    pub uncached_bytes: usize,
}

impl Candidate {
    #[allow(clippy::cast_precision_loss)]
    fn load(&self) -> f64 {
        self.outstanding as f64 / self.slots as f64
    }
}

/// `Wish` is what a rule may know of the request.
#[derive(Clone, Copy, Debug)]
pub struct Wish {
    /// Target for the first token.
    pub first_token: Millis,
    /// Tokens that the answer will probably have.
    pub tokens: u64,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// `Rule` chooses one of the candidates; it is fixed when the daemon starts.
pub trait Rule {
    /// The place of the chosen candidate, or nothing where there is none.
    fn choose(&mut self, wish: &Wish, candidates: &[Candidate]) -> Option<usize>;
}

/// `RoundRobin` takes each in turn; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Rule for RoundRobin {
    fn choose(&mut self, _wish: &Wish, candidates: &[Candidate]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some(self.turn % candidates.len())
    }
}

/// `LeastLoaded` takes the one with the most room; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Rule for LeastLoaded {
    fn choose(&mut self, _wish: &Wish, candidates: &[Candidate]) -> Option<usize> {
        least(candidates, Candidate::load)
    }
}

/// `PrefixOnly` takes the one that has cached most of the prompt; a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixOnly;

impl Rule for PrefixOnly {
    fn choose(&mut self, _wish: &Wish, candidates: &[Candidate]) -> Option<usize> {
        #[allow(clippy::cast_precision_loss)]
        least(candidates, |candidate| candidate.uncached_bytes as f64)
    }
}

/// Time that an engine spends on reading one uncached byte, in milliseconds.
const PREFILL_MS_PER_BYTE: f64 = 0.01;
/// Penalty for leaving the zone, in milliseconds.
const FAR_MS: f64 = 2.0;
/// Share of its price by which a reclaimable slot is dearer for each thousand tokens at risk.
const RISK_PER_THOUSAND_TOKENS: f64 = 0.02;

/// `Cheapest` takes the cheapest that will probably meet the latency target, else the fastest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cheapest;

impl Cheapest {
    /// Expected time to the first token in milliseconds.
    #[allow(clippy::cast_precision_loss)]
    fn delay(candidate: &Candidate) -> f64 {
        let queue = candidate.first_token.0 as f64 * (1.0 + candidate.load());
        let prefill = candidate.uncached_bytes as f64 * PREFILL_MS_PER_BYTE;
        let distance = if candidate.near { 0.0 } else { FAR_MS };
        queue + prefill + distance
    }

    /// Expected cost: the slot's price, dearer by its load, its prefill and the risk of a reclaim.
    #[allow(clippy::cast_precision_loss)]
    fn cost(wish: &Wish, candidate: &Candidate) -> f64 {
        let risk = if candidate.reclaimable {
            RISK_PER_THOUSAND_TOKENS * wish.tokens as f64 / 1_000.0
        } else {
            0.0
        };
        let work = Self::delay(candidate) + wish.tokens as f64;
        candidate.price * (1.0 + risk) * (1.0 + candidate.load()) * work
    }
}

impl Rule for Cheapest {
    #[allow(clippy::cast_precision_loss)]
    fn choose(&mut self, wish: &Wish, candidates: &[Candidate]) -> Option<usize> {
        let target = wish.first_token.0 as f64;
        let cost = |candidate: &Candidate| {
            if Self::delay(candidate) <= target {
                Self::cost(wish, candidate)
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
        .map(|(place, _)| place)
}
