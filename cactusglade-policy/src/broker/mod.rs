//! Admission of callers' requests and the choice of an upstream for each sending.
//!
//! The broker keeps no queue: engines order what waits in them by rank, so a request is offered at
//! once to the upstream that will probably answer first, or refused at once. See
//! `docs/PLATFORM.md`.

mod registry;
mod rule;
mod upstream;

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::arena::Table;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;

use crate::affinity;
use crate::budget;
use crate::budget::Budget;
use crate::quota::Bucket;
use crate::quota::Tolerance;

pub use rule::Candidate;
pub use rule::Rule;
pub use rule::Shortest;
pub use upstream::Upstream;

/// Part of a session's tokens that its own upstream is taken to have cached without any proof.
const PROBABLY: f64 = 0.95;
/// Prompt tokens that an engine reads in a millisecond; the deployments' sheets give 56.6.
const PREFILL_PER_MS: f64 = 56.6;
/// Time of an engine for one token of an answer while it works on some thirty requests at once: a
/// step takes 3.8 ms and a tenth of one more for each request.
const WRITE_MS: f64 = 0.2;
/// Daemons that are assumed to share budgets until the others are known.
const UNKNOWN_DAEMONS: f64 = 9.0;

/// `Options` of a broker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Availability zone of the daemon.
    pub zone: String,
    /// Bounds on repeats over all daemons.
    pub repeats: budget::Bounds,
    /// How far quotas may be passed.
    pub tolerance: Tolerance,
}

/// `Ask` is what the choice of an upstream rests on.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Route of the request.
    pub route: arena::Route,
    /// Its prompt, for a model request.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that were tried already.
    pub tried: &'a [arena::Upstream],
    /// Whether this sending is one beyond the first that arrived.
    pub is_repeat: bool,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// `Basis` is what a choice rested on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Basis {
    /// Upstreams that could take the request.
    pub candidates: usize,
    /// Requests that the chosen one was taken to work on or hold waiting.
    pub load: u64,
    /// Time since it last told of its load, nothing where it never did.
    pub load_age: Option<Millis>,
}

/// `Grant` gives a request an upstream for one sending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// The upstream.
    pub upstream: arena::Upstream,
    /// Tokens of the prompt that it probably has to read.
    pub uncached: u64,
    /// Service that the upstream belongs to.
    pub service: arena::Service,
    /// What the choice rested on.
    pub basis: Basis,
}

/// `Report` is what a sending showed of its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Whether it was good, where that says something of the upstream.
    pub is_good: Option<bool>,
    /// Whether the upstream could not be reached or broke off.
    pub is_lost: bool,
    /// Time to the head of the answer.
    pub took: Option<Millis>,
}

/// `Broker` knows the upstreams and what may be spent.
#[derive(Debug)]
pub struct Broker<R> {
    options: Options,
    rule: R,
    catalog: Arc<Catalog>,
    upstreams: Table<arena::Upstream, Upstream>,
    services: BTreeMap<String, Vec<arena::Upstream>>,
    budgets: BTreeMap<arena::Service, Budget>,
    buckets: BTreeMap<arena::Organisation, Bucket>,
    /// Versions that get no requests, by service.
    withheld: BTreeMap<String, String>,
    /// Organisations by the numbers that stand for them between daemons.
    numbers: BTreeMap<u32, arena::Organisation>,
    daemons: f64,
    /// Share of the daemons that hear each other here.
    share: f64,
    /// When the store was last found to be out of reach, and since when it is back.
    lost: bool,
    regained: Option<Millis>,
}

impl<R: Rule> Broker<R> {
    /// Starts without a catalog and without upstreams.
    #[must_use]
    pub fn new(options: Options, rule: R) -> Self {
        Self {
            options,
            rule,
            catalog: Arc::default(),
            upstreams: Table::default(),
            services: BTreeMap::new(),
            budgets: BTreeMap::new(),
            buckets: BTreeMap::new(),
            withheld: BTreeMap::new(),
            numbers: BTreeMap::new(),
            daemons: UNKNOWN_DAEMONS,
            share: 1.0 / UNKNOWN_DAEMONS,
            lost: false,
            regained: None,
        }
    }

    /// The catalog in force.
    #[must_use]
    pub const fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Puts a catalog in force, unless it is no newer than the one there is.
    pub fn adopt(&mut self, now: Millis, catalog: Arc<Catalog>) -> bool {
        if catalog.version <= self.catalog.version {
            return false;
        }
        self.catalog = catalog;
        self.deal(now);
        true
    }

    /// Takes in how many daemons there are, and how many of them hear each other here.
    #[allow(clippy::cast_precision_loss)]
    pub fn share(&mut self, now: Millis, daemons: u64, heard: u64) {
        let (daemons, share) = (daemons.max(1) as f64, heard as f64 / daemons.max(1) as f64);
        let is_same =
            daemons.to_bits() == self.daemons.to_bits() && share.to_bits() == self.share.to_bits();
        if !is_same {
            self.daemons = daemons;
            self.share = share;
            self.deal(now);
        }
    }

    /// Charges what other daemons let an organisation use.
    #[allow(clippy::cast_precision_loss)]
    pub fn charge_remote(&mut self, organisation: u32, units: u64) {
        let key = self.numbers.get(&organisation);
        if let Some(bucket) = key.and_then(|key| self.buckets.get_mut(key)) {
            bucket.charge(units as f64);
        }
    }

    /// Sends a version of a service no requests while any other serves, or lifts that again.
    pub fn withhold(&mut self, service: &str, version: Option<String>) {
        match version {
            Some(version) => self.withheld.insert(service.to_owned(), version),
            None => self.withheld.remove(service),
        };
    }

    fn deal(&mut self, now: Millis) {
        let catalog = self.catalog.clone();
        let known = |key: &arena::Organisation| catalog.organisations.get(*key).is_some();
        self.buckets.retain(|key, _| known(key));
        self.numbers.clear();
        for (key, organisation) in catalog.organisations.iter() {
            self.numbers
                .insert(affinity::number(&organisation.name), key);
            let Some(quota) = &organisation.quota else {
                self.buckets.remove(&key);
                continue;
            };
            let bucket = self.buckets.entry(key).or_default();
            bucket.set(now, quota, &self.options.tolerance, self.share);
        }
    }

    /// An upstream by its key.
    #[must_use]
    pub fn upstream(&self, key: arena::Upstream) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// All upstreams in the order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (arena::Upstream, &Upstream)> {
        self.upstreams.iter()
    }

    /// Units that a request takes of its organisation's quota.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn units(&self, key: arena::Organisation, prompt: Option<&Prompt>) -> f64 {
        let organisation = self.catalog.organisations.get(key);
        let quota = organisation.and_then(|organisation| organisation.quota);
        match (quota, prompt) {
            (Some(quota), Some(prompt)) if quota.counts_tokens => {
                (prompt.input_tokens + prompt.max_output_tokens) as f64
            }
            (Some(quota), None) if quota.counts_tokens => quota.default_units as f64,
            _ => 1.0,
        }
    }

    /// Charges a request to its organisation.
    ///
    /// # Errors
    ///
    /// Returns the time until there is room again where the quota is used up.
    pub fn charge(
        &mut self,
        now: Millis,
        key: arena::Organisation,
        units: f64,
        is_small: bool,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        if bucket.take(now, units, is_small) {
            Ok(())
        } else {
            Err(bucket.wait())
        }
    }

    /// Gives back the units of a request that did not run.
    pub fn refund(&mut self, key: arena::Organisation, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.give_back(units);
        }
    }

    /// Chooses an upstream for one sending.
    ///
    /// # Errors
    ///
    /// Returns the kind of error where there is none, or no repeat is left.
    pub fn place(&mut self, now: Millis, ask: &Ask<'_>) -> Result<Grant, Kind> {
        let catalog = self.catalog.clone();
        let route = catalog.routes.get(ask.route).ok_or(Kind::UnknownRoute)?;
        let service = pick(&route.split, ask.draw).ok_or(Kind::NoUpstream)?;
        let object = catalog.services.get(service).ok_or(Kind::NoUpstream)?;
        let candidates = self.candidates(now, &object.name, ask);
        let place = self.rule.choose(&candidates, ask.draw);
        let candidate = place.map(|place| candidates[place]);
        let candidate = candidate.ok_or(Kind::NoUpstream)?;
        let (bounds, daemons) = (self.options.repeats, self.daemons);
        let budget = self.budgets.entry(service).or_default();
        if ask.is_repeat {
            if !budget.repeat(now, &bounds, daemons) {
                return Err(Kind::Overloaded);
            }
        } else {
            budget.request(now, &bounds);
        }
        Ok(self.grant(now, service, &candidate, candidates.len(), ask.prompt))
    }

    fn grant(
        &mut self,
        now: Millis,
        service: arena::Service,
        candidate: &Candidate,
        candidates: usize,
        prompt: Option<&Prompt>,
    ) -> Grant {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let (uncached, load) = (candidate.uncached as u64, candidate.load.round() as u64);
        let chosen = self.upstreams.get(candidate.upstream);
        let basis = Basis {
            candidates,
            load,
            load_age: chosen.and_then(|upstream| upstream.load_age(now)),
        };
        if let Some(upstream) = self.upstreams.get_mut(candidate.upstream) {
            upstream.own += 1;
            upstream.backlog += uncached;
            if let Some(prompt) = prompt {
                upstream.cache.insert(now, &prompt.parts);
            }
        }
        Grant {
            upstream: candidate.upstream,
            uncached,
            service,
            basis,
        }
    }

    /// Work of reading a prompt, in milliseconds of one upstream.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn reading(&self, grant: &Grant) -> u64 {
        (grant.uncached as f64 / PREFILL_PER_MS) as u64
    }

    /// Work of writing so many events of an answer, in milliseconds of one upstream.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn writing(&self, grant: &Grant, events: u64) -> u64 {
        let service = self.catalog.services.get(grant.service);
        let stride = service.map_or(0, |service| service.tokens_per_event);
        ((events * stride) as f64 * WRITE_MS) as u64
    }

    /// The upstreams that may take the request; those that failed lately only if no other may.
    fn candidates(&self, now: Millis, service: &str, ask: &Ask<'_>) -> Vec<Candidate> {
        let keys = self.services.get(service).map(Vec::as_slice);
        let staying = |key: &arena::Upstream| {
            let upstream = self.upstreams.get(*key)?;
            let takes = upstream.is_staying(now) && !ask.tried.contains(key);
            takes.then_some((*key, upstream))
        };
        let staying = keys.unwrap_or_default().iter().filter_map(staying);
        let mut staying = staying.collect::<Vec<_>>();
        if let Some(withheld) = self.withheld.get(service) {
            let proven = |(_, upstream): &(_, &Upstream)| upstream.instance.version != *withheld;
            if staying.iter().any(proven) {
                staying.retain(proven);
            }
        }
        let session = ask.prompt.and_then(Prompt::session);
        let own = session.and_then(|session| {
            let all = staying.iter();
            let own = all.max_by_key(|(_, upstream)| affinity::weight(session, upstream.hash));
            own.map(|(key, _)| *key)
        });
        let sound = |(_, upstream): &&(_, &Upstream)| upstream.backoff.is_over(now);
        let any_sound = staying.iter().any(|one| sound(&one));
        let taken = staying.iter().filter(|one| !any_sound || sound(one));
        taken
            .map(|(key, upstream)| self.candidate(now, *key, upstream, ask, own == Some(*key)))
            .collect()
    }

    #[allow(clippy::cast_precision_loss)]
    fn candidate(
        &self,
        now: Millis,
        key: arena::Upstream,
        upstream: &Upstream,
        ask: &Ask<'_>,
        is_own: bool,
    ) -> Candidate {
        let uncached = ask.prompt.map_or(0.0, |prompt| {
            let cached = upstream.cache.cached(now, &prompt.parts) as f64;
            let shared = prompt.parts.iter().rev().skip(1).map(|part| part.tokens);
            let shared = shared.sum::<u64>() as f64;
            let assumed = if is_own { shared * PROBABLY } else { 0.0 };
            (prompt.input_tokens as f64 - cached.max(assumed)).max(0.0)
        });
        Candidate {
            upstream: key,
            is_near: upstream.instance.zone == self.options.zone,
            load: upstream.load(now),
            slots: upstream.instance.slots as f64,
            backlog: upstream.backlog as f64,
            uncached,
            failures: upstream.failures(now),
            latency: if ask.prompt.is_some() {
                0.0
            } else {
                upstream.latency()
            },
        }
    }

    /// Takes in what an upstream said of its load.
    pub fn hear(&mut self, now: Millis, key: arena::Upstream, running: u64, waiting: u64) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.hear(now, running, waiting);
        }
    }

    /// Notes that an upstream has read a prompt.
    pub fn begun(&mut self, grant: &Grant) {
        if let Some(upstream) = self.upstreams.get_mut(grant.upstream) {
            upstream.backlog = upstream.backlog.saturating_sub(grant.uncached);
        }
    }

    /// Notes that a sending has ended; `draw` from 0 to 1 spreads the return to a failed upstream.
    pub fn ended(&mut self, now: Millis, key: arena::Upstream, report: &Report, draw: f64) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.own = upstream.own.saturating_sub(1);
        if let Some(is_good) = report.is_good {
            upstream.judge(now, is_good, report.took);
            if is_good {
                upstream.backoff.succeed();
            }
        }
        if report.is_lost {
            upstream.backoff.fail(now, draw);
        }
    }

    /// Marks an upstream as leaving by its own word.
    pub fn leave(&mut self, now: Millis, key: arena::Upstream) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_news = upstream.leaving.is_none();
        upstream.leaving.get_or_insert(now);
        is_news
    }
}

/// A service by its share of the traffic.
#[allow(clippy::cast_precision_loss)]
fn pick(split: &[(arena::Service, u64)], draw: f64) -> Option<arena::Service> {
    let all = split.iter().map(|(_, weight)| *weight).sum::<u64>();
    let mut left = draw * all as f64;
    for (service, weight) in split.iter().filter(|(_, weight)| *weight > 0) {
        left -= *weight as f64;
        if left < 0.0 {
            return Some(*service);
        }
    }
    split
        .iter()
        .rev()
        .find(|(_, weight)| *weight > 0)
        .map(|(service, _)| *service)
}
