//! Admits callers' requests and selects an upstream for each attempt.
//!
//! A request is sent immediately to the upstream with the least expected delay, or refused: engines order
//! their waiting requests by priority. Only requests with a prompt and a long latency target to a
//! latency-critical service wait here while there is no room ([`crate::admission`]). See
//! `docs/PLATFORM.md`.

mod admission;
mod candidates;
mod evacuation;
mod explain;
mod flows;
mod limits;
mod paces;
mod prefills;
mod quotas;
mod regions;
mod registry;
mod sample;
mod sighting;
mod silence;
mod strategy;
mod upstream;
mod warmups;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use cactusglade_core::arena;
use cactusglade_core::arena::Table;
use cactusglade_core::call::Prompt;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

use crate::admission::Line;
use crate::affinity;
use crate::affinity::Demand;
use crate::allowance::Allowance;
use crate::budget;
use crate::budget::Budget;
use crate::estimate::Flow;
use crate::estimate::Tuning;
use crate::evacuation::Register;
use crate::pace;
use crate::pace::Speed;
use crate::prefill;
use crate::quarantine::Quarantine;
use crate::quota::Bucket;
use crate::quota::Tolerance;
use crate::throttle::Layout;
use crate::throttle::Schedule;
use crate::warmup;
use crate::warmup::Standing;

pub use admission::Decision;
pub use admission::Turn;
pub use explain::Exclusion;
pub use explain::Explanation;
pub use strategy::Candidate;
pub use strategy::Fastest;
pub use strategy::Strategy;
pub use strategy::Terms;
pub use upstream::Upstream;
pub use warmups::Transition;

/// Prompt tokens that an engine reads per millisecond, from the deployments' data sheets.
const PREFILL_TOKENS_PER_MS: f64 = 56.6;
/// Engine time per generated token at about thirty concurrent requests, in milliseconds: a step
/// takes 3.8 ms plus 0.1 ms per request.
const DECODE_MS_PER_TOKEN: f64 = 0.2;
/// Number of daemons that are assumed to share budgets until the membership is known.
const ASSUMED_DAEMONS: f64 = 9.0;

/// `Options` configures a broker.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the daemon.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Retry budget over all daemons.
    pub retries: budget::Bounds,
    /// Amount by which quotas may be exceeded.
    pub tolerance: Tolerance,
    /// Latency target of a route for streams up to which its service counts as latency-critical.
    pub tight_target: Option<Millis>,
    /// How far requests to a cold upstream may exceed its rate; without it no upstream is cold.
    pub cold: Option<warmup::Bounds>,
    /// Region of each availability zone; a zone without one is in none.
    pub regions: BTreeMap<String, String>,
}

/// `Query` describes a request for which an upstream is to be selected.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Route of the request.
    pub route: arena::Route,
    /// Organisation that sent the request, where it is known.
    pub organisation: Option<arena::Organisation>,
    /// Prompt of a model request.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that have already been tried.
    pub tried: &'a [arena::Upstream],
    /// Whether the attempt is a retry, which is charged to the retry budget.
    pub is_retry: bool,
    /// When the daemon received the request.
    pub arrived: Millis,
    /// When the request fails unless it is answered.
    pub deadline: Millis,
    /// Random number from 0 to 1.
    pub draw: f64,
}

/// `Basis` records the inputs of a selection, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Basis {
    /// Number of upstreams that could serve the request.
    pub candidates: usize,
    /// Estimated number of running and waiting requests at the selected upstream.
    pub load: u64,
    /// Time since the upstream last reported its load, `None` if it never did.
    pub load_age: Option<Millis>,
    /// Whether the load is an estimate of the present one ([`crate::estimate`]).
    pub is_estimated: bool,
    /// Limit that the upstream has stated.
    pub limit: Option<Rate>,
    /// Expected time for work at the selected upstream, in percent of the usual time.
    pub pace: u64,
    /// Rank of the selected upstream among those of the session, from 1; `None` if it is none of them.
    pub rank: Option<u64>,
    /// Prompt tokens that the selected upstream had still to read, without those of this request.
    pub backlog: u64,
}

/// `Grant` assigns an upstream to a request for one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Key of the upstream.
    pub upstream: arena::Upstream,
    /// Estimated number of prompt tokens that the upstream has not cached.
    pub uncached: u64,
    /// Service of the upstream.
    pub service: arena::Service,
    /// Inputs of the selection.
    pub basis: Basis,
}

/// `Denied` says why a request can't be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Denied {
    /// Kind of the error.
    pub kind: Kind,
    /// Time after which a retry by the caller may succeed, where it is known.
    pub retry_after: Option<Millis>,
    /// What keeps the request from being sent.
    pub reason: Option<Reason>,
}

impl From<Kind> for Denied {
    fn from(kind: Kind) -> Self {
        Self {
            kind,
            retry_after: kind.answer().retry_after,
            reason: Reason::implied(kind),
        }
    }
}

/// `Report` is the result of an attempt as evidence on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Whether the attempt succeeded, `None` if the result doesn't depend on the upstream.
    pub is_good: Option<bool>,
    /// Whether the connection failed, so that the upstream backs off.
    pub is_lost: bool,
    /// Whether the load of the upstream explains the loss, so that the upstream doesn't back off and
    /// other daemons aren't told.
    pub is_explained: bool,
    /// Time until the head of the answer.
    pub latency: Option<Millis>,
}

/// `Broker` holds the state of the upstreams, quotas and retry budgets.
#[derive(Debug)]
pub struct Broker<R> {
    options: Options,
    strategy: R,
    catalog: Arc<Catalog>,
    upstreams: Table<arena::Upstream, Upstream>,
    services: BTreeMap<String, Vec<arena::Upstream>>,
    /// Upstreams by the hashes that identify them between daemons.
    upstream_hashes: BTreeMap<u32, arena::Upstream>,
    /// What this daemon has seen of upstreams since it last shared it.
    sightings: BTreeMap<u32, Sighting>,
    /// Upstreams whose limits other daemons are to be told.
    unshared_limits: BTreeSet<arena::Upstream>,
    /// Upstreams whose paces other daemons are to be told.
    unshared_paces: BTreeSet<arena::Upstream>,
    /// Speed at which prompts are read, by latency-critical service.
    speeds: BTreeMap<arena::Service, Speed>,
    /// The last measured time per prompt token in milliseconds that was chosen to be shared, where
    /// and when it was measured.
    measured: Option<(arena::Upstream, f64, Millis)>,
    is_measured_unshared: bool,
    /// How many paces this daemon may still tell.
    pace_allowance: Allowance,
    /// Hashes of the upstreams to which long prompts were sent that other daemons are to be told of,
    /// with their tokens to read and when they were sent.
    unshared_prefills: Vec<(u32, u64, Millis)>,
    /// How many long prompts this daemon may still tell of.
    prefill_allowance: Allowance,
    /// Parts of prompts that crash upstreams.
    pub quarantine: Quarantine,
    /// Zones that the operators evacuate.
    evacuations: Register,
    /// Hash of this daemon's name.
    own: u32,
    /// What the sessions of latency-critical services need.
    demand: Demand,
    budgets: BTreeMap<arena::Service, Budget>,
    buckets: BTreeMap<arena::Organisation, Bucket>,
    /// Latency-critical services of the catalog in force, with the shortest latency target of their
    /// routes for streams.
    tight: BTreeMap<arena::Service, Millis>,
    /// Requests that wait for room.
    line: Line,
    /// Whether requests are sent without waiting, since the daemon shuts down.
    is_draining: bool,
    /// Regions of the settings, in order; an upstream's is an index into these.
    regions: Vec<String>,
    /// What is usual at the upstreams, by service.
    flows: BTreeMap<String, Flow>,
    tuning: Tuning,
    /// Versions that receive no requests, by service.
    withheld: BTreeMap<String, String>,
    /// Organisations by the hashes that identify them between daemons.
    hashes: BTreeMap<u32, arena::Organisation>,
    daemons: f64,
    /// Share of the daemons that this one reaches, itself included.
    reachable_share: f64,
    /// Daemons among which the limits of upstreams are divided; unknown until the first report.
    layout: Option<Layout>,
    /// When callers may return that were refused because no upstream of the service takes more.
    returns: BTreeMap<arena::Service, Schedule>,
    /// Upstreams that are cold, and why.
    cold: BTreeMap<arena::Upstream, warmup::Origin>,
    /// Upstreams that have turned cold or warm since this was last taken.
    transitions: Vec<Transition>,
    /// Whether this daemon may use its shares of what cold upstreams take.
    standing: Standing,
    /// Whether the store is unreachable.
    store_unreachable: bool,
    /// When the store was last reachable again.
    store_regained: Option<Millis>,
}

impl<R: Strategy> Broker<R> {
    /// Creates a broker without catalog and upstreams.
    #[must_use]
    pub fn new(options: Options, strategy: R) -> Self {
        let regions = options.regions.values().cloned();
        let regions = regions.collect::<BTreeSet<_>>();
        Self {
            own: affinity::short_hash(&options.name),
            options,
            strategy,
            catalog: Arc::default(),
            upstreams: Table::default(),
            services: BTreeMap::new(),
            upstream_hashes: BTreeMap::new(),
            sightings: BTreeMap::new(),
            unshared_limits: BTreeSet::new(),
            unshared_paces: BTreeSet::new(),
            speeds: BTreeMap::new(),
            measured: None,
            is_measured_unshared: false,
            pace_allowance: Allowance::new(pace::STATEMENTS),
            unshared_prefills: Vec::new(),
            prefill_allowance: Allowance::new(prefill::STATEMENTS),
            quarantine: Quarantine::default(),
            evacuations: Register::default(),
            demand: Demand::default(),
            budgets: BTreeMap::new(),
            buckets: BTreeMap::new(),
            tight: BTreeMap::new(),
            line: Line::default(),
            is_draining: false,
            regions: regions.into_iter().collect(),
            flows: BTreeMap::new(),
            tuning: Tuning::default(),
            withheld: BTreeMap::new(),
            hashes: BTreeMap::new(),
            daemons: ASSUMED_DAEMONS,
            reachable_share: 1.0 / ASSUMED_DAEMONS,
            layout: None,
            returns: BTreeMap::new(),
            cold: BTreeMap::new(),
            transitions: Vec::new(),
            standing: Standing::default(),
            store_unreachable: false,
            store_regained: None,
        }
    }

    /// Returns the catalog in force.
    #[must_use]
    pub const fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Replaces the catalog if the given one is newer, and returns whether it was.
    pub fn adopt(&mut self, now: Millis, catalog: Arc<Catalog>) -> bool {
        if catalog.version <= self.catalog.version {
            return false;
        }
        let is_first = self.catalog.version == 0;
        self.catalog = catalog;
        self.tight = self.shortest_targets();
        self.forget_measured();
        self.update_buckets(now, is_first);
        self.allot_all_cold(now);
        true
    }

    /// Returns whether a service has a route for streams with a latency target so short that a wait
    /// behind one long prompt misses it.
    #[must_use]
    pub fn is_tight(&self, service: arena::Service) -> bool {
        self.tight.contains_key(&service)
    }

    fn shortest_targets(&self) -> BTreeMap<arena::Service, Millis> {
        let Some(greatest) = self.options.tight_target else {
            return BTreeMap::new();
        };
        let routes = self.catalog.routes.iter().map(|(_, route)| route);
        let routes =
            routes.filter(|route| route.semantics.is_stream() && route.latency_target <= greatest);
        let mut shortest = BTreeMap::new();
        for route in routes {
            for (service, _) in &route.split {
                let target = shortest.entry(*service).or_insert(route.latency_target);
                *target = route.latency_target.min(*target);
            }
        }
        shortest
    }

    /// Sets the number of daemons, the number that this one reaches, itself included, and the time
    /// within which a partition is detected.
    #[allow(clippy::cast_precision_loss)]
    pub fn set_membership(&mut self, now: Millis, daemons: u64, reachable: u64, detection: Millis) {
        let (daemons, share) = (
            daemons.max(1) as f64,
            reachable as f64 / daemons.max(1) as f64,
        );
        let is_same = daemons.to_bits() == self.daemons.to_bits()
            && share.to_bits() == self.reachable_share.to_bits()
            && detection == self.options.tolerance.detection;
        if !is_same {
            self.options.tolerance.detection = detection;
            self.daemons = daemons;
            self.reachable_share = share;
            self.update_buckets(now, false);
        }
    }

    /// Withholds requests from a version of a service while another version serves.
    ///
    /// `None` lets all versions of the service receive requests again.
    pub fn withhold(&mut self, service: &str, version: Option<String>) {
        match version {
            Some(version) => self.withheld.insert(service.to_owned(), version),
            None => self.withheld.remove(service),
        };
    }

    /// Returns the version of a service that gets no requests, if another version serves.
    #[must_use]
    pub fn withheld_version(&self, now: Millis, service: &str) -> Option<&str> {
        let withheld = self.withheld.get(service)?;
        let keys = self.services.get(service).into_iter().flatten();
        let mut upstreams = keys.filter_map(|key| self.upstreams.get(*key));
        let serves = |one: &Upstream| one.is_available(now) && one.instance.version != *withheld;
        upstreams.any(serves).then_some(withheld.as_str())
    }

    /// Returns the state of an upstream.
    #[must_use]
    pub fn upstream(&self, key: arena::Upstream) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Iterates over all upstreams in the order of their names.
    pub fn upstreams(&self) -> impl Iterator<Item = (arena::Upstream, &Upstream)> {
        self.upstreams.iter()
    }

    /// Selects an upstream for one attempt.
    ///
    /// # Errors
    ///
    /// Returns why the request can't be sent now: no upstream is available, all that are want no
    /// requests for some time, or the retry budget is used up.
    pub fn place(&mut self, now: Millis, query: &Query<'_>) -> Result<Grant, Denied> {
        let catalog = self.catalog.clone();
        let route = catalog.routes.get(query.route).ok_or(Kind::UnknownRoute)?;
        let service = pick_service(&route.split, query.draw).ok_or(Kind::NoUpstream)?;
        let target = catalog.services.get(service).ok_or(Kind::NoUpstream)?;
        let is_tight = self.is_tight(service);
        let (candidates, usable) = self.candidates(now, &target.name, is_tight, query);
        let terms = self.terms(service, query);
        let index = self.strategy.choose(&candidates, &terms, query.draw);
        let candidate = index.map(|index| candidates[index]);
        let Some(candidate) = candidate else {
            return Err(self.denied(now, service, &target.name, query));
        };
        let (bounds, daemons) = (self.options.retries, self.daemons);
        let budget = self.budgets.entry(service).or_default();
        if query.is_retry {
            if !budget.try_retry(now, &bounds, daemons) {
                return Err(Denied {
                    reason: Some(Reason::RetryBudget),
                    ..Kind::Overloaded.into()
                });
            }
        } else {
            budget.record_request(now, &bounds);
        }
        Ok(self.grant(now, service, &candidate, usable, query.prompt))
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn grant(
        &mut self,
        now: Millis,
        service: arena::Service,
        candidate: &Candidate,
        candidates: usize,
        prompt: Option<&Prompt>,
    ) -> Grant {
        if let Some(prompt) = prompt.filter(|_| self.is_tight(service)) {
            self.demand.record(now, prompt);
        }
        let uncached = candidate.uncached as u64;
        let expected = self.expected_load(now, candidate, prompt);
        let load = expected.round() as u64;
        let chosen = self.upstreams.get(candidate.upstream);
        let basis = Basis {
            candidates,
            load,
            load_age: chosen.and_then(|upstream| self.load_age(now, upstream, prompt)),
            is_estimated: self.estimates(prompt),
            limit: chosen.and_then(|upstream| upstream.throttle.rate()),
            pace: pace::percent(candidate.pace),
            rank: candidate.rank,
            backlog: candidate.backlog.round() as u64,
        };
        self.announce_prefill(now, service, candidate.upstream, uncached);
        self.record_own(now, candidate.upstream, true);
        if let Some(upstream) = self.upstreams.get_mut(candidate.upstream) {
            upstream.in_flight += 1;
            upstream.backlog += uncached;
            upstream.throttle.take(now);
            upstream.warmup.take(now);
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

    /// Returns the engine time for reading the prompt, in milliseconds.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn prefill_ms(&self, grant: &Grant) -> u64 {
        (grant.uncached as f64 / PREFILL_TOKENS_PER_MS) as u64
    }

    /// Returns the engine time for generating a number of events, in milliseconds.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn decode_ms(&self, grant: &Grant, events: u64) -> u64 {
        let service = self.catalog.services.get(grant.service);
        let tokens_per_event = service.map_or(0, |service| service.tokens_per_event);
        ((events * tokens_per_event) as f64 * DECODE_MS_PER_TOKEN) as u64
    }

    /// Records the load that an upstream reported, as numbers of requests.
    pub fn record_load(&mut self, now: Millis, key: arena::Upstream, running: u64, waiting: u64) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.record_load(now, running, waiting);
            upstream.hear(now);
            let hash = affinity::short_hash(&upstream.instance.name);
            let load = running.saturating_add(waiting);
            self.sighting(hash).load = Some(load);
            self.record_estimate(now, key, load);
            self.quarantine.record_alive(now, hash);
        }
    }

    /// Records that an upstream no longer has to read the prompt of a request.
    pub fn finish_prefill(&mut self, grant: &Grant) {
        if let Some(upstream) = self.upstreams.get_mut(grant.upstream) {
            upstream.backlog = upstream.backlog.saturating_sub(grant.uncached);
        }
    }

    /// Records that an upstream has begun to answer a request, and how long it took; for a request
    /// with a prompt this tells how long the prompt waited.
    pub fn begin_answer(&mut self, now: Millis, grant: &Grant, latency: Millis) {
        if grant.uncached == 0 {
            return;
        }
        self.measure_prompt(now, grant, latency);
        let delay = latency - Millis(self.prefill_ms(grant));
        if let Some(upstream) = self.upstreams.get_mut(grant.upstream) {
            upstream.record_delay(now, delay);
            let hash = affinity::short_hash(&upstream.instance.name);
            self.sighting(hash).delay_ms = Some(delay.0);
        }
    }

    /// Records that an upstream's connection was cut as it began to answer a request.
    pub fn record_cut(&mut self, now: Millis, key: arena::Upstream, prompt: &Prompt) {
        if let Some(upstream) = self.upstreams.get(key) {
            let hash = affinity::short_hash(&upstream.instance.name);
            self.quarantine.record_cut(now, hash, prompt.shared());
        }
    }

    /// Records the end of an attempt; `draw` from 0 to 1 is the jitter of the backoff. Returns
    /// whether its loss takes the upstream out.
    pub fn finish(
        &mut self,
        now: Millis,
        key: arena::Upstream,
        report: &Report,
        draw: f64,
    ) -> bool {
        self.record_own(now, key, false);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        if let Some(is_good) = report.is_good {
            upstream.record_answer(now, is_good, report.latency);
            if is_good {
                upstream.backoff.record_success();
            }
        }
        if !report.is_lost || report.is_explained {
            return false;
        }
        let own = self.own;
        upstream.backoff.record_failure(now, draw);
        let is_out = upstream.record_loss(now, own);
        let hash = affinity::short_hash(&upstream.instance.name);
        self.sighting(hash).lost_by = Some(own);
        is_out
    }

    /// Sends an upstream no requests for some time, as it has asked.
    pub fn spare(&mut self, now: Millis, key: arena::Upstream, span: Millis) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.spared_until = upstream.spared_until.max(now + span);
        }
    }

    /// Marks an upstream as leaving and returns whether it was not marked before.
    pub fn mark_leaving(&mut self, now: Millis, key: arena::Upstream) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_new = upstream.leaving.is_none();
        upstream.leaving.get_or_insert(now);
        is_new
    }
}

/// Picks a service at random, by its weight in the split.
#[allow(clippy::cast_precision_loss)]
fn pick_service(split: &[(arena::Service, u64)], draw: f64) -> Option<arena::Service> {
    let total = split.iter().map(|(_, weight)| *weight).sum::<u64>();
    let mut rest = draw * total as f64;
    for (service, weight) in split.iter().filter(|(_, weight)| *weight > 0) {
        rest -= *weight as f64;
        if rest < 0.0 {
            return Some(*service);
        }
    }
    split
        .iter()
        .rev()
        .find(|(_, weight)| *weight > 0)
        .map(|(service, _)| *service)
}
