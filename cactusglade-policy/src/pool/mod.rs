//! Runtime state of the upstreams of the object set.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::arena;
use cactusglade_core::meta::Tenure;
use cactusglade_core::set;
use cactusglade_core::set::Set;
use cactusglade_core::units::Millis;

use crate::choice::Candidate;
use crate::prefix;
use crate::retry::Backoff;

/// Time to the first token that is assumed before the first answer.
const INITIAL_FIRST_TOKEN: Millis = Millis(20);

/// `Upstream` is the runtime state of one upstream incarnation.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Number of requests of this daemon that run on the upstream.
    pub outstanding: u64,
    /// Backoff after failures.
    pub backoff: Backoff,
    /// Whether the upstream is leaving; a mark is never reset.
    pub leaving: bool,
    /// Prompt prefixes that the upstream has probably cached.
    pub prefixes: prefix::Index,
    first_token: Millis,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            outstanding: 0,
            backoff: Backoff::default(),
            leaving: false,
            prefixes: prefix::Index::default(),
            first_token: INITIAL_FIRST_TOKEN,
        }
    }
}

impl Upstream {
    /// Updates the moving average of the time to the first token.
    pub fn record_first_token(&mut self, first_token: Millis) {
        const OLD_WEIGHT: u64 = 7;
        const TOTAL_WEIGHT: u64 = 8;
        self.first_token = Millis((self.first_token.0 * OLD_WEIGHT + first_token.0) / TOTAL_WEIGHT);
    }
}

/// `Need` is the model version or service that a request requires.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Need {
    /// A version of a model.
    Version(arena::Version),
    /// A plain service.
    Service(arena::Service),
}

/// `Pool` holds the runtime state of all upstreams of the object set in force.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    zone: String,
    states: BTreeMap<arena::Upstream, Upstream>,
    needs: BTreeMap<Need, Vec<arena::Upstream>>,
    leaving: BTreeSet<(String, u64)>,
}

impl Pool {
    /// Creates an empty pool for a daemon in `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Replaces the object set and keeps the state of upstreams that both sets have.
    pub fn adopt(&mut self, set: &Set) {
        let mut states = BTreeMap::new();
        let mut needs: BTreeMap<Need, Vec<arena::Upstream>> = BTreeMap::new();
        for (key, upstream) in set.upstreams.iter() {
            let mut state = self.states.remove(&key).unwrap_or_default();
            let incarnation = (upstream.name.clone(), upstream.meta.incarnation);
            state.leaving |= self.leaving.contains(&incarnation);
            states.insert(key, state);
            for version in &upstream.versions {
                needs.entry(Need::Version(*version)).or_default().push(key);
            }
            if let Some(service) = upstream.service {
                needs.entry(Need::Service(service)).or_default().push(key);
            }
        }
        self.states = states;
        self.needs = needs;
    }

    /// Marks an upstream incarnation as leaving, even if no object set has it yet.
    ///
    /// Returns its key if the object set has it and it was not marked before.
    pub fn mark_leaving(
        &mut self,
        set: &Set,
        name: &str,
        incarnation: u64,
    ) -> Option<arena::Upstream> {
        if !self.leaving.insert((name.to_owned(), incarnation)) {
            return None;
        }
        let key = set.upstreams.find(name)?;
        let object = set.upstreams.get(key)?;
        if object.meta.incarnation != incarnation {
            return None;
        }
        self.states.get_mut(&key)?.leaving = true;
        Some(key)
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn get(&self, key: arena::Upstream) -> Option<&Upstream> {
        self.states.get(&key)
    }

    /// Returns the mutable state of an upstream.
    pub fn get_mut(&mut self, key: arena::Upstream) -> Option<&mut Upstream> {
        self.states.get_mut(&key)
    }

    /// Returns whether any upstream that is not leaving serves the need, with a free slot or not.
    #[must_use]
    pub fn serves(&self, need: Need) -> bool {
        self.serving(need).any(|(_, state)| !state.leaving)
    }

    /// Returns the upstreams with a free slot, without those in `excluded`.
    #[must_use]
    pub fn candidates(
        &self,
        set: &Set,
        now: Millis,
        need: Need,
        prompt: &prefix::Prompt,
        excluded: &[arena::Upstream],
    ) -> Vec<Candidate> {
        self.serving(need)
            .filter(|(key, state)| {
                !state.leaving && state.backoff.is_over(now) && !excluded.contains(key)
            })
            .filter_map(|(key, state)| {
                let object = set.upstreams.get(key)?;
                let has_slot = state.outstanding < object.meta.slots;
                has_slot.then(|| self.candidate(key, state, object, prompt))
            })
            .collect()
    }

    /// Returns an upstream to probe with one request if all upstreams are backing off.
    ///
    /// Without probes, the backoff of a service's only upstream would delay all requests by seconds
    /// after the upstream has recovered.
    #[must_use]
    pub fn probe(
        &self,
        set: &Set,
        now: Millis,
        need: Need,
        prompt: &prefix::Prompt,
    ) -> Option<Candidate> {
        let mut available = self.serving(need).filter(|(_, state)| !state.leaving);
        if available.any(|(_, state)| state.backoff.is_over(now)) {
            return None;
        }
        let mut available = self.serving(need).filter(|(_, state)| !state.leaving);
        let (key, state) = available
            .find(|(_, state)| state.outstanding == 0 && state.backoff.is_probeable(now))?;
        let object = set.upstreams.get(key)?;
        Some(self.candidate(key, state, object, prompt))
    }

    fn serving(&self, need: Need) -> impl Iterator<Item = (arena::Upstream, &Upstream)> {
        let keys = self.needs.get(&need).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .filter_map(|key| self.states.get(key).map(|state| (*key, state)))
    }

    #[allow(clippy::cast_precision_loss)]
    fn candidate(
        &self,
        key: arena::Upstream,
        state: &Upstream,
        object: &set::Upstream,
        prompt: &prefix::Prompt,
    ) -> Candidate {
        Candidate {
            upstream: key,
            same_zone: object.meta.zone == self.zone,
            price: object.meta.price / object.meta.slots as f64,
            reclaimable: object.meta.tenure == Tenure::Reclaimable,
            outstanding: state.outstanding,
            slots: object.meta.slots,
            first_token: state.first_token,
            uncached_bytes: prompt.bytes() - state.prefixes.cached_bytes(prompt),
        }
    }
}
