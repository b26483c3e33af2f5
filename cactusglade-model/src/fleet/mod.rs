//! Plays callers, daemons and engines against each other.

mod bound;
mod churn;
mod placement;
mod scarcity;
mod setup;
mod silence;
mod spread;

use std::collections::BTreeMap;

use cactusglade_core::arena;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::units::Millis;
use cactusglade_policy::broker::Broker;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;
use cactusglade_policy::broker::Strategy;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine::Engine;
use crate::engine::Profile;
use crate::engine::Run;
use crate::load;
use crate::load::Arrival;
use crate::load::Class;

use bound::Loads;
use silence::Attempt;

pub use bound::Rule;
pub use churn::Churn;
pub use placement::Placement;
pub use scarcity::Scarcity;
pub use scarcity::Surge;
pub use silence::Silence;
pub use spread::Noise;
pub use spread::Spread;

/// Time after which a daemon gives up a request that it sent on a kept connection to an engine that
/// does not answer, as a multiple of the latency target.
const LOSS_TARGETS: f64 = 2.0;
/// Time after which a daemon gives up connecting, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 450.0;
/// Share of the requests that are sent on a kept connection, as in a fleet of 195 daemons.
const KEPT_SHARE: f64 = 0.35;
/// Time after which an engine that went dark is dropped from the registry, in milliseconds.
const REGISTRY_DELAY_MS: f64 = 4_000.0;
/// Most engines to which one request is sent.
const MAX_ATTEMPTS: usize = 2;

/// `Error` of a model's configuration.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The catalog that follows from the options is not valid.
    #[error("the catalog is not valid: {0}")]
    Catalog(String),
}

/// Result of setting up a model.
pub type Result<T> = std::result::Result<T, Error>;

/// `Options` of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of availability zones over which both are spread.
    pub zones: usize,
    /// Figures of each engine.
    pub profile: Profile,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Simulated time in milliseconds.
    pub span_ms: f64,
    /// Time at the start whose requests are not counted, while caches fill.
    pub warm_up_ms: f64,
    /// Interval at which daemons share sightings and time until these arrive, in milliseconds;
    /// `None` if they share none.
    pub gossip_ms: Option<(f64, f64)>,
    /// Engines that stop answering, and when.
    pub dark: Option<(usize, f64)>,
    /// Engines that are reclaimed and replaced.
    pub churn: Option<Churn>,
    /// Latency target up to which the service counts as latency-critical; the route's is 1,000 ms.
    pub tight_target: Option<Millis>,
    /// How engines are selected.
    pub placement: Placement,
    /// How upstreams are chosen and how their speeds vary.
    pub spread: Spread,
    /// A surge of requests, if any.
    pub scarcity: Option<Scarcity>,
}

/// `Outcome` counts the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests.
    pub asked: u64,
    /// Requests whose first token came within the target.
    pub on_time: u64,
    /// Requests that were given up.
    pub failed: u64,
    /// Times to the first token in milliseconds, in order.
    pub latencies: Vec<f64>,
}

/// `Summary` is the result of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Outcomes by name of the class.
    pub classes: BTreeMap<String, Outcome>,
    /// Prompt tokens of all requests, and those of them that engines had cached.
    pub prompt_tokens: u64,
    /// Prompt tokens that engines had cached.
    pub cached_tokens: u64,
    /// Shared prompt tokens that the selected engines had cached.
    pub shared_found: u64,
    /// Shared prompt tokens that the best engine for each request had cached.
    pub shared_possible: u64,
    /// Requests per second at the busiest engine over the mean of all engines.
    pub imbalance: f64,
    /// Attempts at engines that did not answer.
    pub losses: u64,
    /// Times that requests waited for a slot and for the prompts before them, in milliseconds, in
    /// order.
    pub waits: Vec<f64>,
    /// Requests that waited while another engine with as much of the prompt had a free slot.
    pub needless_waits: u64,
    /// Standard deviation of the numbers of requests at the engines, in windows of 100 ms.
    pub deviations: Vec<f64>,
    /// Times in milliseconds, and the number of sound engines that a daemon sent no requests to.
    pub ejected: Vec<(f64, usize)>,
    /// Extensions of the time for an answer.
    pub extensions: u64,
    /// Requests that were given up at an engine that does answer.
    pub repeated: u64,
    /// Arrivals and times to the first token in milliseconds, and whether that was on time; the time is
    /// infinite for a request that was given up.
    pub answers: Vec<(f64, f64, bool)>,
    /// Requests that were sent after a wait at a daemon.
    pub deferred: u64,
    /// Requests that were sent after a wait although no engine had room.
    pub forced: u64,
}

impl Outcome {
    /// Returns the share of the requests that were answered on time.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.asked.max(1) as f64
    }

    /// Returns a quantile, from 0 to 1, of the times to the first token in milliseconds.
    #[must_use]
    pub fn latency(&self, quantile: f64) -> f64 {
        value_at(&self.latencies, quantile)
    }
}

/// Returns a quantile, from 0 to 1, of values in order.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn value_at(values: &[f64], quantile: f64) -> f64 {
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * quantile.clamp(0.0, 1.0)).round() as usize;
    values.get(index).copied().unwrap_or_default()
}

impl Summary {
    /// Returns a quantile, from 0 to 1, of the times that requests waited, in milliseconds.
    #[must_use]
    pub fn wait(&self, quantile: f64) -> f64 {
        value_at(&self.waits, quantile)
    }

    /// Returns the mean of the standard deviations of the numbers of requests at the engines.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn deviation(&self) -> f64 {
        self.deviations.iter().sum::<f64>() / self.deviations.len().max(1) as f64
    }

    /// Returns the share of the requests that waited while another engine had room for them.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn needless_share(&self) -> f64 {
        self.needless_waits as f64 / self.waits.len().max(1) as f64
    }

    /// Returns the most sound engines that a daemon sent no requests to at the same time.
    #[must_use]
    pub fn most_ejected(&self) -> usize {
        let counts = self.ejected.iter().map(|(_, count)| *count);
        counts.max().unwrap_or_default()
    }

    /// Returns the share of the requests that arrived in a time, in milliseconds, and were answered on
    /// time.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn on_time_between(&self, from: f64, to: f64) -> f64 {
        let arrived = |(at, _, _): &&(f64, f64, bool)| *at >= from && *at < to;
        let answers = self.answers.iter().filter(arrived);
        let on_time = answers.clone().filter(|(_, _, is_on_time)| *is_on_time);
        on_time.count() as f64 / answers.count().max(1) as f64
    }

    /// Returns the share of the prompt tokens that engines had cached.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn cached_share(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the share of the shared tokens found cached, among those that some engine had cached.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn found_share(&self) -> f64 {
        self.shared_found as f64 / self.shared_possible.max(1) as f64
    }
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    /// A daemon learns that an engine has begun to answer, and the engine's load.
    FirstToken {
        daemon: usize,
        grant: Grant,
        engine: usize,
        /// Load that is stated, `None` if it is the one at this moment.
        load: Option<u64>,
        latency_ms: f64,
    },
    End {
        daemon: usize,
        grant: Grant,
        /// Time to the head of the answer, of a request without a prompt.
        latency_ms: Option<f64>,
    },
    Lost {
        daemon: usize,
        grant: Grant,
        request: usize,
        tried: Vec<arena::Upstream>,
    },
    /// An engine has not begun to answer.
    Silent(Attempt),
    /// The requests that wait at a daemon look for room.
    Look(usize),
    Share,
    Deliver(Vec<(usize, Sighting)>),
    /// Other engines become slow.
    RedrawSlow,
    /// The numbers of requests at the engines are compared.
    Compare,
    GoDark(usize),
    Remove(usize),
    /// All engines of a zone are reclaimed.
    Reclaim(usize),
    /// Replacements of reclaimed engines are ready.
    Replace(Vec<usize>),
    /// A daemon learns of changes of the registry.
    Learn {
        daemon: usize,
        changes: Vec<Change>,
    },
}

/// Plays a run with the daemons' own strategy.
///
/// # Errors
///
/// Fails if the options do not make a valid catalog.
pub fn play(options: &Options) -> Result<Summary> {
    let loads = Loads::default();
    let model = Model::try_new(options, &loads, || options.spread.rule.strategy(&loads));
    model.map(Model::run)
}

struct Model<'a, R> {
    options: &'a Options,
    route: arena::Route,
    /// Routes of the classes, where each has its own.
    routes: Vec<arena::Route>,
    /// Requests that wait at daemons.
    waiting: BTreeMap<(usize, arena::Waiting), usize>,
    /// Daemons whose waiting requests are to look for room.
    is_timed: Vec<bool>,
    brokers: Vec<Broker<R>>,
    engines: Vec<Engine>,
    /// When each engine was ready, and when it was reclaimed.
    lives: Vec<(f64, Option<f64>)>,
    /// Exact loads, for the rules that know them.
    loads: Loads,
    requests: Vec<Arrival>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random: StdRng,
    /// Random numbers of reclaims, apart so that a run without them stays the same.
    churn_random: StdRng,
    summary: Summary,
}

/// Times are kept in whole microseconds, so that events have an order.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(ms: f64) -> u64 {
    (ms * 1_000.0) as u64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn millis(ms: f64) -> Millis {
    Millis(ms as u64)
}

impl<R: Strategy> Model<'_, R> {
    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.events.insert((micros(at), self.sequence), event);
    }

    #[allow(clippy::cast_precision_loss)]
    fn run(mut self) -> Summary {
        for request in 0..self.requests.len() {
            self.schedule(self.requests[request].at, Event::Arrive(request));
        }
        if let Some((interval, _)) = self.options.gossip_ms {
            self.schedule(interval, Event::Share);
        }
        self.schedule(0.0, Event::RedrawSlow);
        self.schedule(self.options.warm_up_ms, Event::Compare);
        if let Some((engines, at)) = self.options.dark {
            for engine in 0..engines {
                self.schedule(at, Event::GoDark(engine));
                self.schedule(at + REGISTRY_DELAY_MS, Event::Remove(engine));
            }
        }
        self.schedule_reclaims();
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.handle(at as f64 / 1_000.0, event);
        }
        for outcome in self.summary.classes.values_mut() {
            outcome.latencies.sort_by(f64::total_cmp);
        }
        self.summary.imbalance = self.imbalance();
        self.summary.waits.sort_by(f64::total_cmp);
        self.summary
    }

    fn handle(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrive(request) => {
                let daemon = self.random.random_range(0..self.brokers.len());
                self.send(now, daemon, request, Vec::new());
            }
            Event::FirstToken {
                daemon,
                grant,
                engine,
                load,
                latency_ms,
            } => {
                let load = load.unwrap_or_else(|| self.engines[engine].load(now).max(1));
                let broker = &mut self.brokers[daemon];
                broker.record_load(millis(now), grant.upstream, load, 0);
                broker.finish_prefill(&grant);
                broker.begin_answer(millis(now), &grant, millis(latency_ms));
            }
            Event::End {
                daemon,
                grant,
                latency_ms,
            } => {
                let report = Report {
                    is_good: Some(true),
                    is_lost: false,
                    is_explained: false,
                    latency: latency_ms.map(millis),
                };
                let broker = &mut self.brokers[daemon];
                broker.finish(millis(now), grant.upstream, &report, 0.5);
                self.advance(now, daemon);
            }
            Event::Look(daemon) => self.look(now, daemon),
            Event::Lost {
                daemon,
                grant,
                request,
                tried,
            } => self.lose(now, daemon, &grant, false, request, tried),
            Event::Silent(attempt) => self.handle_silence(now, attempt),
            Event::Share => self.share(now),
            Event::Deliver(sightings) => self.deliver(now, &sightings),
            Event::Reclaim(zone) => self.reclaim(now, zone),
            Event::Replace(engines) => self.replace(now, engines),
            Event::Learn { daemon, changes } => {
                let broker = &mut self.brokers[daemon];
                broker.apply(millis(now), changes);
                broker.remove_expired(millis(now));
            }
            Event::RedrawSlow => self.redraw_slow(now),
            Event::Compare => self.compare(now),
            Event::GoDark(engine) => self.engines[engine].is_dark = true,
            Event::Remove(engine) => {
                let name = setup::engine_name(engine);
                for broker in &mut self.brokers {
                    broker.apply(millis(now), [Change::Removed(name.clone())]);
                }
            }
        }
    }

    /// Delivers what daemons have seen to all others.
    fn deliver(&mut self, now: f64, sightings: &[(usize, Sighting)]) {
        for (daemon, broker) in self.brokers.iter_mut().enumerate() {
            for (from, sighting) in sightings {
                if *from != daemon {
                    broker.record_sighting(millis(now), sighting);
                }
            }
        }
    }

    /// Gives a request up at an engine that did not answer, and sends it to another.
    fn lose(
        &mut self,
        now: f64,
        daemon: usize,
        grant: &Grant,
        is_explained: bool,
        request: usize,
        mut tried: Vec<arena::Upstream>,
    ) {
        let report = Report {
            is_good: (!is_explained).then_some(false),
            is_lost: true,
            is_explained,
            latency: None,
        };
        let draw = self.random.random();
        let broker = &mut self.brokers[daemon];
        broker.finish_prefill(grant);
        broker.finish(millis(now), grant.upstream, &report, draw);
        tried.push(grant.upstream);
        self.send(now, daemon, request, tried);
    }

    /// Collects what all daemons have seen, and delivers it to all others.
    fn share(&mut self, now: f64) {
        let Some((interval, delay)) = self.options.gossip_ms else {
            return;
        };
        let brokers = self.brokers.iter_mut().enumerate();
        let sightings = brokers.flat_map(|(daemon, broker)| {
            let sightings = broker.take_sightings().into_iter();
            sightings.map(move |sighting| (daemon, sighting))
        });
        let sightings = sightings.collect();
        self.schedule(now + delay, Event::Deliver(sightings));
        if now < self.options.span_ms {
            self.schedule(now + interval, Event::Share);
        }
    }

    fn send(&mut self, now: f64, daemon: usize, request: usize, tried: Vec<arena::Upstream>) {
        let arrival = self.requests[request].clone();
        let options = self.options;
        let class = &options.classes[arrival.class];
        let is_counted = arrival.at >= self.options.warm_up_ms;
        let excluded = self.excluded(now, daemon, &arrival.prompt, &tried);
        let outcome = self.summary.classes.entry(class.name.clone()).or_default();
        outcome.asked += u64::from(is_counted && tried.is_empty());
        let query = Query {
            route: self.route_of(arrival.class),
            organisation: None,
            prompt: options.spread.work_ms.is_none().then_some(&arrival.prompt),
            tried: &excluded,
            is_retry: !tried.is_empty(),
            arrived: millis(arrival.at),
            deadline: millis(arrival.at) + setup::TIMEOUT,
            draw: self.random.random(),
        };
        self.loads.update(now, &self.engines);
        if self.admits() && tried.is_empty() {
            if let Some(grant) = self.admit(now, daemon, request, &query) {
                self.dispatch(now, daemon, grant, request, tried);
            }
            return;
        }
        let broker = &mut self.brokers[daemon];
        let granted = if tried.len() < MAX_ATTEMPTS {
            broker.place(millis(now), &query).ok()
        } else {
            None
        };
        let Some(grant) = granted else {
            self.refuse(request);
            return;
        };
        self.dispatch(now, daemon, grant, request, tried);
    }

    /// Sends a request to the engine that was selected for it.
    fn dispatch(
        &mut self,
        now: f64,
        daemon: usize,
        grant: Grant,
        request: usize,
        tried: Vec<arena::Upstream>,
    ) {
        let broker = &self.brokers[daemon];
        let name = broker.upstream(grant.upstream);
        let engine = name.and_then(|upstream| setup::engine_index(&upstream.instance.name));
        let Some(engine) = engine.filter(|index| *index < self.engines.len()) else {
            return;
        };
        if self.engines[engine].is_dark {
            self.summary.losses += 1;
            if self.random.random_bool(KEPT_SHARE) {
                self.await_first_token(Attempt {
                    daemon,
                    grant,
                    request,
                    engine,
                    tried,
                    sent_at: now,
                    run: Run::NEVER,
                    load: None,
                });
                return;
            }
            let lost = Event::Lost {
                daemon,
                grant,
                request,
                tried,
            };
            self.schedule(now + CONNECT_TIMEOUT_MS, lost);
            return;
        }
        self.serve(now, daemon, grant, request, engine, tried);
    }

    /// Has an engine process a request.
    fn serve(
        &mut self,
        now: f64,
        daemon: usize,
        grant: Grant,
        request: usize,
        index: usize,
        tried: Vec<arena::Upstream>,
    ) {
        let options = self.options;
        let arrival = &self.requests[request];
        let class = &options.classes[arrival.class];
        let parts = &arrival.prompt.parts;
        let has_other = self.has_other_room(now, index, parts);
        let shared = arrival.prompt.shared();
        let engines = self.engines.iter().zip(&self.lives);
        let live = engines.filter(|(engine, (_, end))| !engine.is_dark && end.is_none());
        let possible = live.map(|(engine, _)| engine.cached(shared)).max();
        let engine = &mut self.engines[index];
        let found = engine.cached(shared);
        let load = engine.load(now);
        let run = match options.spread.work_ms {
            Some(work_ms) => engine.accept_plain(now, work_ms),
            None => engine.accept(now, parts, class.answer_tokens),
        };
        if arrival.at >= options.warm_up_ms {
            self.summary.waits.push(run.start - now);
            self.summary.needless_waits += u64::from(run.start > now && has_other);
            self.summary.prompt_tokens += arrival.prompt.input_tokens;
            self.summary.cached_tokens += run.cached;
            self.summary.shared_found += found;
            self.summary.shared_possible += possible.unwrap_or_default().max(found);
        }
        self.await_first_token(Attempt {
            daemon,
            grant,
            request,
            engine: index,
            tried,
            sent_at: now,
            run,
            load: (!options.spread.states_at_answer).then_some(load + 1),
        });
    }

    /// Counts the result of a request that its engine answers.
    fn complete(&mut self, attempt: &Attempt) {
        let options = self.options;
        let Attempt {
            daemon,
            grant,
            engine,
            sent_at,
            run,
            load,
            ..
        } = *attempt;
        let arrival = &self.requests[attempt.request];
        let class = &options.classes[arrival.class];
        if arrival.at >= options.warm_up_ms {
            let latency = run.first_token - arrival.at;
            let is_on_time = latency <= class.target_ms;
            let outcome = self.summary.classes.entry(class.name.clone()).or_default();
            outcome.latencies.push(latency);
            outcome.on_time += u64::from(is_on_time);
            let answer = (arrival.at, latency, is_on_time);
            self.summary.answers.push(answer);
        }
        let first_token = Event::FirstToken {
            daemon,
            grant,
            engine,
            load,
            latency_ms: run.first_token - sent_at,
        };
        self.schedule(run.first_token, first_token);
        let end = Event::End {
            daemon,
            grant,
            latency_ms: options.spread.work_ms.map(|_| run.end - sent_at),
        };
        self.schedule(run.end, end);
    }
}

impl<'a, R: Strategy> Model<'a, R> {
    fn try_new(options: &'a Options, loads: &Loads, strategy: impl Fn() -> R) -> Result<Self> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let mut requests = load::arrivals(&options.classes, options.span_ms, &mut random);
        if let Some(scarcity) = options.scarcity {
            requests.extend(load::surge(&options.classes, &scarcity.surge, &mut random));
            requests.sort_by(|a, b| a.at.total_cmp(&b.at));
        }
        let (route, routes, brokers) = setup::brokers(options, strategy)?;
        if let Some(broker) = brokers.first() {
            let upstreams = broker.upstreams();
            let names = upstreams.map(|(key, one)| (key, setup::engine_index(&one.instance.name)));
            loads.assign(names.filter_map(|(key, index)| Some((key, index?))));
        }
        Ok(Self {
            options,
            route,
            routes,
            waiting: BTreeMap::new(),
            is_timed: vec![false; options.daemons],
            brokers,
            engines: vec![Engine::new(options.profile); options.engines],
            lives: vec![(0.0, None); options.engines],
            loads: loads.clone(),
            requests,
            events: BTreeMap::new(),
            sequence: 0,
            random,
            churn_random: StdRng::seed_from_u64(options.seed + 1),
            summary: Summary::default(),
        })
    }
}
