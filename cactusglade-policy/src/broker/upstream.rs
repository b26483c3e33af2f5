//! What a daemon knows of one upstream.

use cactusglade_core::fleet::Instance;
use cactusglade_core::units::Millis;

use crate::affinity;
use crate::affinity::Cache;
use crate::retry::Backoff;

/// Time after which half of a reported load is no longer believed.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of the newest answer in the running means.
const NEWEST: f64 = 0.1;
/// Time to the answer that is assumed of an upstream not yet tried, in milliseconds.
const UNTRIED_MS: f64 = 20.0;
/// Time in which half of the recorded failures are forgotten, so that an upstream which nobody
/// asks is tried again.
const FORGIVE_MS: f64 = 2_000.0;

/// `Upstream` is the running state of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As registered.
    pub instance: Instance,
    /// Number of its name in the choice by session.
    pub hash: u64,
    /// When it was first known to leave; this never changes back.
    pub leaving: Option<Millis>,
    /// Time from which it is taken as gone, unless its entry returns.
    pub doubted: Option<Millis>,
    /// How long it is left alone after failures.
    pub backoff: Backoff,
    /// Prompt parts that it has lately read.
    pub cache: Cache,
    /// Requests of this daemon that it works on.
    pub own: u64,
    /// Prompt tokens of this daemon's requests that it has still to read.
    pub backlog: u64,
    others: f64,
    heard: Option<Millis>,
    latency: f64,
    failures: f64,
    judged: Millis,
}

impl Upstream {
    /// Starts with nothing known of it but its entry.
    #[must_use]
    pub fn new(instance: Instance) -> Self {
        Self {
            hash: affinity::name(&instance.name),
            instance,
            leaving: None,
            doubted: None,
            backoff: Backoff::default(),
            cache: Cache::default(),
            own: 0,
            backlog: 0,
            others: 0.0,
            heard: None,
            latency: UNTRIED_MS,
            failures: 0.0,
            judged: Millis(0),
        }
    }

    /// Whether it may be sent new work.
    #[must_use]
    pub fn is_staying(&self, now: Millis) -> bool {
        self.leaving.is_none() && self.doubted.is_none_or(|until| now < until)
    }

    /// Takes in what it said of its load; what is not this daemon's belongs to others.
    #[allow(clippy::cast_precision_loss)]
    pub fn hear(&mut self, now: Millis, running: u64, waiting: u64) {
        self.others = (running + waiting).saturating_sub(self.own) as f64;
        self.heard = Some(now);
    }

    /// Time since it last told of its load.
    #[must_use]
    pub fn load_age(&self, now: Millis) -> Option<Millis> {
        self.heard.map(|heard| now - heard)
    }

    /// Requests that it works on or holds waiting, as far as is known.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, now: Millis) -> f64 {
        let age = self.load_age(now).unwrap_or_default();
        self.own as f64 + self.others * decay(age, HALF_LIFE_MS)
    }

    /// Recent time to its answers in milliseconds.
    #[must_use]
    pub const fn latency(&self) -> f64 {
        self.latency
    }

    /// Recent share of failures.
    #[must_use]
    pub fn failures(&self, now: Millis) -> f64 {
        self.failures * decay(now - self.judged, FORGIVE_MS)
    }

    /// Takes in whether an answer was good, and how long it took.
    #[allow(clippy::cast_precision_loss)]
    pub fn judge(&mut self, now: Millis, is_good: bool, took: Option<Millis>) {
        let failed = if is_good { 0.0 } else { 1.0 };
        self.failures = self.failures(now) * (1.0 - NEWEST) + failed * NEWEST;
        self.judged = now;
        if let Some(took) = took {
            self.latency = self.latency * (1.0 - NEWEST) + took.0 as f64 * NEWEST;
        }
    }
}

/// What is left of a figure after a span in which half of it goes each `half` milliseconds.
#[allow(clippy::cast_precision_loss)]
fn decay(span: Millis, half: f64) -> f64 {
    (-(span.0 as f64) / half).exp2()
}
