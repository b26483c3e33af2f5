//! The daemon's metrics, in the Prometheus text format.
//!
//! The values of labels come from the object set and from fixed lists, which bounds the number of
//! time series; `docs/OPERATIONS.md` lists all metrics.

mod datagrams;
mod paces;
mod plans;
mod prefills;
mod silences;
mod waits;

use cactusglade_core::refusal::Reason;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

pub use datagrams::Datagrams;
pub use paces::Paces;
pub use plans::Plans;
pub use prefills::Prefills;
pub use silences::Silences;
pub use waits::Waits;

/// `Error` is a failure to register or encode a metric.
pub type Error = prometheus::Error;

/// `Result` of registering or encoding metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// Upper bounds of the histogram buckets, in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// `Metrics` holds the metrics of one daemon; clones share the same counters.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by route, organisation and result code.
    pub requests: IntCounterVec,
    /// Seconds to the first byte of the answer, by route and organisation.
    pub first_byte: HistogramVec,
    /// Seconds between tokens.
    pub between_tokens: Histogram,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Tokens of prompts and answers that upstreams computed.
    pub computed: IntCounter,
    /// Tokens computed again after a stream was moved to another upstream.
    pub recomputed: IntCounter,
    /// Attempts of requests beyond the first.
    pub retries: IntCounter,
    /// Requests sent to upstreams that failed, by outcome.
    pub failed_sendings: IntCounterVec,
    /// Finished requests by route, organisation and whether they met the route's goal: `good`,
    /// `late`, or `failed` where they failed for a reason other than an error of the caller.
    pub goals: IntCounterVec,
    /// Requests that this daemon refused itself, by route and reason ([`Reason`]).
    pub refusals: IntCounterVec,
    /// Durations of calls to the platform in seconds, by call and result.
    pub platform_calls: HistogramVec,
    /// Parts of prompts found to crash upstreams, each time that one is held.
    pub held_parts: IntCounter,
    /// Upstreams that take few requests because they are cold.
    pub cold_upstreams: IntGauge,
    /// Streams moved away from an upstream that shuts down.
    pub moves: IntCounter,
    /// Answers from upstreams that belonged to another attempt.
    pub mismatches: IntCounter,
    /// Heads read from the store whose generation was below the active one.
    pub older_heads: IntCounter,
    /// Published object sets that were invalid.
    pub refused_sets: IntCounter,
    /// Failed fetches of an object set.
    pub failed_fetches: IntCounter,
    /// Active generation.
    pub generation: IntGauge,
    /// Availability zones that the operators evacuate.
    pub evacuated: IntGauge,
    /// Times at which another daemon stated a newer configuration than this one has.
    pub behind: IntCounter,
    /// Speed of upstreams.
    pub paces: Paces,
    /// Long prompts that daemons tell each other of.
    pub prefills: Prefills,
    /// Upstreams that have not begun to answer in time.
    pub silences: Silences,
    /// Capacity plans, which every daemon keeps.
    pub plans: Plans,
    /// Datagrams to other daemons.
    pub datagrams: Datagrams,
    /// Requests that wait for room at an upstream.
    pub waits: Waits,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests that wait for a slot of an upstream.
    pub waiting: IntGauge,
    /// Bytes of rows sent to and received from peers.
    pub gossip_bytes: IntCounter,
    /// Seconds by which the event loop runs timers late.
    pub loop_lateness: Histogram,
    /// Seconds since the last report of the load by which an upstream was chosen.
    pub load_age: Histogram,
}

impl Metrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when two metrics have the same name, which is a fault of this module.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| counter(&registry, name, help);
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let (requests, first_byte, between_tokens) = request_metrics(&registry)?;
        Ok(Self {
            requests,
            first_byte,
            between_tokens,
            tokens: counter("cactusglade_tokens_total", "Tokens given to callers")?,
            computed: counter("cactusglade_computed_tokens_total", "Computed tokens")?,
            recomputed: counter("cactusglade_recomputed_tokens_total", "Recomputed tokens")?,
            failed_sendings: failed_sendings(&registry)?,
            goals: goals(&registry)?,
            refusals: refusals(&registry)?,
            platform_calls: platform_calls(&registry)?,
            retries: counter("cactusglade_retries_total", "Attempts beyond the first")?,
            held_parts: counter(
                "cactusglade_held_parts_total",
                "Parts of prompts found to crash upstreams",
            )?,
            cold_upstreams: gauge("cactusglade_upstreams_cold", "Upstreams that are cold")?,
            moves: counter(
                "cactusglade_moves_total",
                "Streams moved off leaving upstreams",
            )?,
            mismatches: counter("cactusglade_mismatches_total", "Answers of other attempts")?,
            older_heads: counter(
                "cactusglade_older_heads_total",
                "Older heads from the store",
            )?,
            failed_fetches: counter("cactusglade_failed_fetches_total", "Fetches that failed")?,
            refused_sets: counter("cactusglade_refused_sets_total", "Object sets refused")?,
            generation: gauge("cactusglade_generation", "Generation in force")?,
            evacuated: gauge("cactusglade_zones_evacuated", "Evacuated zones")?,
            behind: counter(
                "cactusglade_configuration_behind_total",
                "Times at which another daemon had a newer configuration",
            )?,
            paces: Paces::try_new(&registry)?,
            plans: Plans::try_new(&registry)?,
            prefills: Prefills::try_new(&registry)?,
            silences: Silences::try_new(&registry)?,
            datagrams: Datagrams::try_new(&registry)?,
            waits: Waits::try_new(&registry)?,
            connections: gauge("cactusglade_connections", "Open connections of callers")?,
            waiting: gauge("cactusglade_waiting", "Requests that wait for a slot")?,
            gossip_bytes: counter(
                "cactusglade_gossip_bytes_total",
                "Bytes of rows to and from peers",
            )?,
            loop_lateness: loop_lateness(&registry)?,
            load_age: load_age(&registry)?,
            registry,
        })
    }

    /// Counts a request that this daemon refused itself.
    pub fn count_refusal(&self, route: &str, reason: Reason) {
        let labels = [route, reason.as_str()];
        self.refusals.with_label_values(&labels).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric can't be encoded.
    pub fn text(&self) -> Result<String> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}

fn failed_sendings(registry: &Registry) -> Result<IntCounterVec> {
    let options = Opts::new(
        "cactusglade_failed_sendings_total",
        "Sendings to upstreams that were not answered well, by how they ended",
    );
    let failed_sendings = IntCounterVec::new(options, &["outcome"])?;
    registry.register(Box::new(failed_sendings.clone()))?;
    Ok(failed_sendings)
}

fn goals(registry: &Registry) -> Result<IntCounterVec> {
    let options = Opts::new(
        "cactusglade_goals_total",
        "Requests by whether the goal of their route was met",
    );
    let goals = IntCounterVec::new(options, &["route", "organisation", "result"])?;
    registry.register(Box::new(goals.clone()))?;
    Ok(goals)
}

fn refusals(registry: &Registry) -> Result<IntCounterVec> {
    let options = Opts::new(
        "cactusglade_refusals_total",
        "Requests that the daemon refused itself, by reason",
    );
    let refusals = IntCounterVec::new(options, &["route", "reason"])?;
    registry.register(Box::new(refusals.clone()))?;
    Ok(refusals)
}

fn platform_calls(registry: &Registry) -> Result<HistogramVec> {
    let options = HistogramOpts::new("cactusglade_platform_seconds", "Calls to the platform");
    let platform_calls = HistogramVec::new(
        options.buckets(LATENCY_BUCKETS_S.to_vec()),
        &["call", "result"],
    )?;
    registry.register(Box::new(platform_calls.clone()))?;
    Ok(platform_calls)
}

fn loop_lateness(registry: &Registry) -> Result<Histogram> {
    histogram(
        registry,
        "cactusglade_loop_lateness_seconds",
        "Time by which the event loop runs timers late",
    )
}

fn load_age(registry: &Registry) -> Result<Histogram> {
    histogram(
        registry,
        "cactusglade_load_age_seconds",
        "Age of the load report by which an upstream was chosen, where loads are estimated",
    )
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

fn request_metrics(registry: &Registry) -> Result<(IntCounterVec, HistogramVec, Histogram)> {
    let requests = IntCounterVec::new(
        Opts::new("cactusglade_requests_total", "Requests by their end"),
        &["route", "organisation", "code"],
    )?;
    let first_byte = HistogramVec::new(
        HistogramOpts::new("cactusglade_first_byte_seconds", "Time to the first byte")
            .buckets(LATENCY_BUCKETS_S.to_vec()),
        &["route", "organisation"],
    )?;
    let between_tokens = Histogram::with_opts(
        HistogramOpts::new("cactusglade_between_tokens_seconds", "Time between tokens")
            .buckets(LATENCY_BUCKETS_S.to_vec()),
    )?;
    registry.register(Box::new(requests.clone()))?;
    registry.register(Box::new(first_byte.clone()))?;
    registry.register(Box::new(between_tokens.clone()))?;
    Ok((requests, first_byte, between_tokens))
}
