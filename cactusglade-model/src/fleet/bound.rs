//! Rules that bound what a choice with late information can reach.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cactusglade_core::arena;
use cactusglade_policy::broker::Candidate;
use cactusglade_policy::broker::Fastest;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::broker::Terms;

use crate::engine::Engine;

/// `Rule` is how one of the compared upstreams is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// The product's own rule with the loads that it knows.
    #[default]
    Known,
    /// The product's own rule with the exact loads.
    Exact,
    /// At random.
    Random,
}

/// `Loads` holds the exact load of each upstream for the rule that knows it.
#[derive(Clone, Debug, Default)]
pub struct Loads(Arc<Mutex<BTreeMap<arena::Upstream, (usize, f64)>>>);

/// `Bound` chooses by a [`Rule`].
#[derive(Clone, Debug)]
pub struct Bound {
    rule: Rule,
    loads: Loads,
}

impl Rule {
    /// Returns the strategy of the rule.
    pub(super) fn strategy(self, loads: &Loads) -> Bound {
        Bound {
            rule: self,
            loads: loads.clone(),
        }
    }
}

impl Loads {
    /// Sets which engine is behind which upstream.
    pub fn assign(&self, indices: impl Iterator<Item = (arena::Upstream, usize)>) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *known = indices.map(|(key, index)| (key, (index, 0.0))).collect();
    }

    /// Takes over the loads of all engines.
    #[allow(clippy::cast_precision_loss)]
    pub fn update(&self, now: f64, engines: &[Engine]) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (index, load) in known.values_mut() {
            *load = engines[*index].load(now) as f64;
        }
    }

    fn get(&self, key: arena::Upstream) -> Option<f64> {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(&key).map(|(_, load)| *load)
    }
}

impl Strategy for Bound {
    fn choose(&self, candidates: &[Candidate], terms: &Terms, draw: f64) -> Option<usize> {
        match self.rule {
            Rule::Known => Fastest.choose(candidates, terms, draw),
            Rule::Exact => {
                let exact = candidates.iter().map(|candidate| Candidate {
                    load: self.loads.get(candidate.upstream).unwrap_or_default(),
                    ..*candidate
                });
                Fastest.choose(&exact.collect::<Vec<_>>(), terms, draw)
            }
            Rule::Random => {
                #[allow(
                    clippy::cast_possible_truncation,
                    clippy::cast_precision_loss,
                    clippy::cast_sign_loss
                )]
                let index = (draw * candidates.len() as f64) as usize;
                (index < candidates.len()).then_some(index)
            }
        }
    }

    fn cost(&self, candidate: &Candidate, terms: &Terms) -> f64 {
        Fastest.cost(candidate, terms)
    }

    fn expected(&self, candidate: &Candidate, terms: &Terms) -> f64 {
        Fastest.expected(candidate, terms)
    }
}
