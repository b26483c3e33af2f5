//! State of one upstream as this daemon observes it.

use cactusglade_core::fleet::Instance;
use cactusglade_core::units::Millis;

use crate::affinity;
use crate::affinity::Cache;
use crate::estimate::Estimate;
use crate::pace;
use crate::prefill::Queue;
use crate::retry::Backoff;
use crate::throttle::Throttle;
use crate::warmup::Warmup;

/// Half-life of the load reported by an upstream, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 1_000.0;
/// Time for which a report of the load counts in full where it says whether there is room.
const REPORT_VALIDITY: Millis = Millis(1_000);
/// Half-life of the delay of prompts at an upstream in milliseconds, so that one that was slow gets
/// its share back little by little.
const DELAY_HALF_LIFE_MS: f64 = 1_000.0;
/// Weight of the newest delay in the moving average.
const NEWEST_DELAY_WEIGHT: f64 = 0.3;
/// Weight of the newest answer in the moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// Latency that is assumed before the first answer, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 20.0;
/// Time within which a second daemon must lose a request at an upstream for both losses to count.
const LOSS_WINDOW: Millis = Millis(1_000);
/// Time for which an upstream gets no requests after two daemons have lost one there. The registry
/// drops an upstream that has failed after some seconds.
const DOUBT_PERIOD: Millis = Millis(2_000);
/// Half-life of the failure rate in milliseconds, so that an upstream without requests is tried
/// again.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// `Upstream` is the state of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Entry of the registry.
    pub instance: Instance,
    /// Hash of the name, for rendezvous hashing.
    pub hash: u64,
    /// When this daemon learned of the upstream, `None` if that was with its first registry.
    pub appeared: Option<Millis>,
    /// When the upstream was first marked as leaving; a mark is never reset.
    pub leaving: Option<Millis>,
    /// When the upstream counts as removed, unless its entry is renewed before.
    pub removal: Option<Millis>,
    /// Whether the operators evacuate its zone.
    pub is_evacuated: bool,
    /// Region of its zone.
    pub region: Option<usize>,
    /// Until when the upstream wants no requests from this daemon.
    pub spared_until: Millis,
    /// Limit that the upstream has stated, and this daemon's share of it.
    pub throttle: Throttle,
    /// Time that work takes at the upstream, relative to the usual time.
    pub pace: pace::Estimate,
    /// What the upstream has still to read of other daemons' long prompts.
    pub reading: Queue,
    /// Until when the upstream is cold, and this daemon's share of what it takes meanwhile.
    pub warmup: Warmup,
    /// Backoff after failures.
    pub backoff: Backoff,
    /// Prompt parts that the upstream has recently read.
    pub cache: Cache,
    /// Number of requests of this daemon in flight.
    pub in_flight: u64,
    /// Prompt tokens of this daemon's requests that the upstream has not yet read.
    pub backlog: u64,
    /// Estimate of the load, where it is balanced by estimates.
    pub estimate: Estimate,
    other_load: f64,
    /// Load by the last report, with this daemon's requests.
    reported_load: u64,
    /// Time of which the last report speaks.
    heard: Option<Millis>,
    reported: Option<Millis>,
    latency: f64,
    delay: f64,
    delay_updated: Millis,
    failures: f64,
    failures_updated: Millis,
    /// When a daemon last lost a request here, and the hash of its name.
    loss: Option<(Millis, u32)>,
    doubted_until: Millis,
}

impl Upstream {
    /// Creates the initial state from an entry of the registry, and when that became known.
    #[must_use]
    pub fn new(instance: Instance, appeared: Option<Millis>) -> Self {
        Self {
            hash: affinity::hash(&instance.name),
            instance,
            appeared,
            leaving: None,
            removal: None,
            is_evacuated: false,
            region: None,
            spared_until: Millis(0),
            throttle: Throttle::default(),
            pace: pace::Estimate::default(),
            reading: Queue::default(),
            warmup: Warmup::default(),
            backoff: Backoff::default(),
            cache: Cache::default(),
            in_flight: 0,
            backlog: 0,
            estimate: Estimate::default(),
            other_load: 0.0,
            reported_load: 0,
            heard: None,
            reported: None,
            latency: INITIAL_LATENCY_MS,
            delay: 0.0,
            delay_updated: Millis(0),
            failures: 0.0,
            failures_updated: Millis(0),
            loss: None,
            doubted_until: Millis(0),
        }
    }

    /// Returns the time since the upstream appeared, `None` if this daemon has always known it.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.appeared.map(|appeared| now - appeared)
    }

    /// Returns whether new requests may be sent to the upstream.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        !self.is_evacuated && self.is_registered(now)
    }

    /// Returns whether the upstream is neither leaving nor removed.
    #[must_use]
    pub fn is_registered(&self, now: Millis) -> bool {
        self.leaving.is_none() && self.removal.is_none_or(|until| now < until)
    }

    /// Returns whether the upstream takes a request of this daemon now.
    #[must_use]
    pub fn takes_requests(&self, now: Millis) -> bool {
        now >= self.spared_until && self.throttle.admits(now) && self.warmup.admits(now)
    }

    /// Records the reported load; requests beyond this daemon's own are those of other daemons.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_load(&mut self, now: Millis, running: u64, waiting: u64) {
        self.reported_load = running.saturating_add(waiting);
        self.other_load = self.reported_load.saturating_sub(self.in_flight) as f64;
        self.reported = Some(now);
        self.loss = None;
    }

    /// Records that a daemon lost a request at the upstream, and returns whether that takes the
    /// upstream out; two daemons must agree, since the cause may be the network of one.
    pub fn record_loss(&mut self, now: Millis, daemon: u32) -> bool {
        let is_confirmed = self
            .loss
            .is_some_and(|(at, other)| other != daemon && now - at < LOSS_WINDOW);
        let was_doubted = now < self.doubted_until;
        if is_confirmed {
            self.doubted_until = now + DOUBT_PERIOD;
        }
        self.loss = Some((now, daemon));
        is_confirmed && !was_doubted
    }

    /// Returns whether requests should go elsewhere: this daemon backs off, or several daemons lost
    /// requests at the upstream.
    #[must_use]
    pub fn is_doubted(&self, now: Millis) -> bool {
        !self.backoff.is_over(now) || now < self.doubted_until
    }

    /// Records that a report speaks of a time.
    pub fn hear(&mut self, at: Millis) {
        self.heard = self.heard.max(Some(at));
    }

    /// Returns the time of which the last report of the load speaks.
    #[must_use]
    pub const fn heard(&self) -> Option<Millis> {
        self.heard
    }

    /// Returns the number of running and waiting requests by the last report.
    #[must_use]
    pub const fn reported_load(&self) -> u64 {
        self.reported_load
    }

    /// Returns the time since the last reported load.
    #[must_use]
    pub fn load_age(&self, now: Millis) -> Option<Millis> {
        self.reported.map(|reported| now - reported)
    }

    /// Returns the estimated number of running and waiting requests.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn load(&self, now: Millis) -> f64 {
        let age = self.load_age(now).unwrap_or_default();
        self.in_flight as f64 + self.other_load * decay(age, LOAD_HALF_LIFE_MS)
    }

    /// Returns the number of running and waiting requests where the last report counts in full for
    /// [`REPORT_VALIDITY`].
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn full_load(&self, now: Millis) -> f64 {
        let age = self.load_age(now).unwrap_or_default() - REPORT_VALIDITY;
        self.in_flight as f64 + self.other_load * decay(age, LOAD_HALF_LIFE_MS)
    }

    /// Records the time that a prompt waited beyond the time to read it.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_delay(&mut self, now: Millis, delay: Millis) {
        let known = self.delay(now) * (1.0 - NEWEST_DELAY_WEIGHT);
        self.delay = known + delay.0 as f64 * NEWEST_DELAY_WEIGHT;
        self.delay_updated = now;
    }

    /// Returns the time that prompts wait beyond the time to read them, in milliseconds.
    ///
    /// It shows whether the upstreams together keep up. It doesn't count for the choice of one: while
    /// all are busy it differs at random, and a session that moved for it would be read again.
    #[must_use]
    pub fn delay(&self, now: Millis) -> f64 {
        self.delay * decay(now - self.delay_updated, DELAY_HALF_LIFE_MS)
    }

    /// Returns the moving average of the time to the head of an answer at the usual pace, in
    /// milliseconds.
    #[must_use]
    pub const fn latency(&self) -> f64 {
        self.latency
    }

    /// Returns the recent failure rate, from 0 to 1.
    #[must_use]
    pub fn failures(&self, now: Millis) -> f64 {
        self.failures * decay(now - self.failures_updated, FAILURE_HALF_LIFE_MS)
    }

    /// Records whether an answer was good, and the time to its head.
    ///
    /// The time is divided by the pace, which the expected time is multiplied by: an upstream that
    /// states a false pace thus has its usual expected time again after some answers.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_answer(&mut self, now: Millis, is_good: bool, latency: Option<Millis>) {
        let failed = if is_good { 0.0 } else { 1.0 };
        self.failures = self.failures(now) * (1.0 - NEWEST_WEIGHT) + failed * NEWEST_WEIGHT;
        self.failures_updated = now;
        if let Some(latency) = latency {
            let latency = latency.0 as f64 / self.pace.factor(now);
            self.latency = self.latency * (1.0 - NEWEST_WEIGHT) + latency * NEWEST_WEIGHT;
        }
    }
}

/// Returns the factor of an exponential decay over `span` with a half-life of `half` milliseconds.
#[allow(clippy::cast_precision_loss)]
fn decay(span: Millis, half: f64) -> f64 {
    (-(span.0 as f64) / half).exp2()
}
