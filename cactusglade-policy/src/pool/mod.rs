//! What a daemon knows of each upstream while it runs.

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

/// Time to the first token that is assumed of an upstream not yet tried.
const UNTRIED: Millis = Millis(20);

/// `Upstream` is the running state of one upstream incarnation.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Requests of this daemon that it works on.
    pub outstanding: u64,
    /// How long it is left alone after failures.
    pub backoff: Backoff,
    /// Whether it is leaving; never changes back.
    pub leaving: bool,
    /// Prompt prefixes that it has probably cached.
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
            first_token: UNTRIED,
        }
    }
}

impl Upstream {
    /// Takes in a time to the first token, newer ones weighing more.
    pub fn observe(&mut self, first_token: Millis) {
        const KEEP: u64 = 7;
        const PARTS: u64 = 8;
        self.first_token = Millis((self.first_token.0 * KEEP + first_token.0) / PARTS);
    }
}

/// `Need` is what an upstream must run to take a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Need {
    /// A version of a model.
    Version(arena::Version),
    /// A plain service.
    Service(arena::Service),
}

/// `Pool` holds the running state of all upstreams of the set in force.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    zone: String,
    states: BTreeMap<arena::Upstream, Upstream>,
    needs: BTreeMap<Need, Vec<arena::Upstream>>,
    leaving: BTreeSet<(String, u64)>,
}

impl Pool {
    /// Makes an empty pool for a daemon that stands in `zone`.
    #[must_use]
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Takes over a new object set; what is known of upstreams that stay is kept.
    pub fn adopt(&mut self, set: &Set) {
        let mut states = BTreeMap::new();
        let mut needs: BTreeMap<Need, Vec<arena::Upstream>> = BTreeMap::new();
        for (key, upstream) in set.upstreams.iter() {
            let mut state = self.states.remove(&key).unwrap_or_default();
            let mark = (upstream.name.clone(), upstream.meta.incarnation);
            state.leaving |= self.leaving.contains(&mark);
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

    /// Marks an upstream incarnation as leaving, also one that no set has named yet.
    ///
    /// Gives back its key when this is news.
    pub fn leave(&mut self, set: &Set, name: &str, incarnation: u64) -> Option<arena::Upstream> {
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

    /// The running state of an upstream.
    #[must_use]
    pub fn get(&self, key: arena::Upstream) -> Option<&Upstream> {
        self.states.get(&key)
    }

    /// The running state of an upstream, to change.
    pub fn get_mut(&mut self, key: arena::Upstream) -> Option<&mut Upstream> {
        self.states.get_mut(&key)
    }

    /// Whether any upstream that stays could serve the need, busy or not.
    #[must_use]
    pub fn serves(&self, need: Need) -> bool {
        self.runners(need).any(|(_, state)| !state.leaving)
    }

    /// The upstreams that can take a request now, without those in `not`.
    #[must_use]
    pub fn candidates(
        &self,
        set: &Set,
        now: Millis,
        need: Need,
        prompt: &prefix::Prompt,
        not: &[arena::Upstream],
    ) -> Vec<Candidate> {
        self.runners(need)
            .filter(|(key, state)| {
                !state.leaving && state.backoff.is_over(now) && !not.contains(key)
            })
            .filter_map(|(key, state)| {
                let object = set.upstreams.get(key)?;
                let free = state.outstanding < object.meta.slots;
                free.then(|| self.candidate(key, state, object, prompt))
            })
            .collect()
    }

    /// An upstream to probe with one request where every one that stays is left alone.
    ///
    /// Without it a single upstream that failed a few times would keep all requests waiting for
    /// seconds after it is whole again.
    #[must_use]
    pub fn probe(
        &self,
        set: &Set,
        now: Millis,
        need: Need,
        prompt: &prefix::Prompt,
    ) -> Option<Candidate> {
        let mut staying = self.runners(need).filter(|(_, state)| !state.leaving);
        if staying.any(|(_, state)| state.backoff.is_over(now)) {
            return None;
        }
        let mut staying = self.runners(need).filter(|(_, state)| !state.leaving);
        let (key, state) =
            staying.find(|(_, state)| state.outstanding == 0 && state.backoff.is_probeable(now))?;
        let object = set.upstreams.get(key)?;
        Some(self.candidate(key, state, object, prompt))
    }

    fn runners(&self, need: Need) -> impl Iterator<Item = (arena::Upstream, &Upstream)> {
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
            near: object.meta.zone == self.zone,
            price: object.meta.price / object.meta.slots as f64,
            reclaimable: object.meta.tenure == Tenure::Reclaimable,
            outstanding: state.outstanding,
            slots: object.meta.slots,
            first_token: state.first_token,
            uncached_bytes: prompt.bytes() - state.prefixes.cached_bytes(prompt),
        }
    }
}
