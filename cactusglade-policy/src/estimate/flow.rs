//! The baseline of one service: what load and rate its upstreams usually have.

use cactusglade_core::units::Millis;

use super::SIGHTING_AGE;

/// Time over which this daemon's own requests are averaged, in milliseconds. A daemon of a large
/// fleet sends a service a few requests per second.
const OWN_MS: f64 = 10_000.0;
/// Time of a request that is assumed before any has ended, in milliseconds.
const INITIAL_RESIDENCE_MS: f64 = 200.0;
/// Weight of the newest report in the variance.
const NEWEST_WEIGHT: f64 = 0.02;

/// Bound on a reported load, in multiples of the slots. Callers give up before an upstream has worked
/// off more.
const MAX_QUEUES: f64 = 4.0;

/// Upstreams up to which a choice compares all. Of more, each daemon compares a few others, so that
/// few daemons follow the same report in any case.
const ALL_COMPARED: f64 = 16.0;
/// Bounds of the share of a difference that is found left at the next report.
const MIN_LEFT: f64 = 0.02;
const MAX_LEFT: f64 = 0.98;

/// `Baseline` is what is to be expected at an upstream of which nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Baseline {
    /// Load by all daemons.
    pub load: f64,
    /// Load by other daemons.
    pub others: f64,
    /// Variance of the load.
    pub variance: f64,
    /// Time that a request spends at an upstream, in milliseconds.
    pub residence_ms: f64,
    /// Time in which a difference from the baseline load shrinks to a third, in milliseconds.
    pub return_ms: f64,
    /// Part of what this daemon knows that all others know too, from 0 to 1: the less it sends
    /// itself while reports are on their way, the more its choice is that of all others.
    pub shared_fraction: f64,
}

impl Baseline {
    /// Returns a reported load within the bound beyond which it is taken for false.
    #[must_use]
    pub fn bounded(load: f64, slots: f64) -> f64 {
        load.clamp(0.0, MAX_QUEUES * slots)
    }
}

/// `Persistence` learns how long differences of loads last.
///
/// Requests that end are one reason that they don't; daemons that all follow the same reports are
/// another. Where these turn differences around, reports say nothing of the present.
#[derive(Clone, Debug, Default)]
struct Persistence {
    square: f64,
    product: f64,
    gap: f64,
}

impl Persistence {
    /// Records two differences from the baseline load, the later one after a time.
    #[allow(clippy::cast_precision_loss)]
    fn record(&mut self, gap: Millis, before: f64, after: f64) {
        if gap == Millis(0) {
            return;
        }
        let kept = 1.0 - NEWEST_WEIGHT;
        self.square = self.square * kept + before * before;
        self.product = self.product * kept + before * after;
        self.gap = self.gap * kept + before * before * gap.0 as f64;
    }

    fn return_ms(&self, initial_ms: f64) -> f64 {
        if self.square <= 0.0 {
            return initial_ms;
        }
        let left = (self.product / self.square).clamp(MIN_LEFT, MAX_LEFT);
        self.gap / self.square / -left.ln()
    }
}

/// `Flow` learns the baseline from reports and from this daemon's own requests.
///
/// This daemon's share of the load is its own load over the reported one, and the rate of a service
/// is its load over the time of a request (Little's law), so that nothing has to be exchanged.
#[derive(Clone, Debug, Default)]
pub struct Flow {
    /// Upstreams of the service.
    upstreams: f64,
    /// Sum of the averages of those that have reported, and their number.
    sum: f64,
    reporting: f64,
    variance: Option<f64>,
    persistence: Persistence,
    own: u64,
    updated: Millis,
    /// Decaying integrals over time: of 1, of the own requests in flight, and those sent.
    span_ms: f64,
    own_ms: f64,
    sent: f64,
}

impl Flow {
    /// Sets the number of upstreams and the averages of those that have reported.
    pub fn reset(&mut self, upstreams: f64, averages: &[f64]) {
        self.upstreams = upstreams;
        self.sum = averages.iter().sum();
        #[allow(clippy::cast_precision_loss)]
        let reporting = averages.len() as f64;
        self.reporting = reporting;
    }

    /// Records the change of an upstream's average by a report of `load`.
    ///
    /// `last` is the report before, if any, and the time since.
    pub fn record(&mut self, load: f64, change: f64, last: Option<(Millis, f64)>) {
        self.sum += change;
        self.reporting += if last.is_none() { 1.0 } else { 0.0 };
        if let Some((gap, before)) = last {
            let baseline = self.load() + 1.0;
            self.persistence
                .record(gap, before - baseline, load - baseline);
        }
        let square = (load - 1.0 - self.load()).powi(2);
        let known = self.variance.unwrap_or(square);
        self.variance = Some(known + (square - known) * NEWEST_WEIGHT);
    }

    /// Records that a request of this daemon was sent or has ended.
    pub fn record_own(&mut self, now: Millis, is_sent: bool) {
        self.advance(now);
        if is_sent {
            self.own += 1;
            self.sent += 1.0;
        } else {
            self.own = self.own.saturating_sub(1);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn advance(&mut self, now: Millis) {
        let span = (now - self.updated).0 as f64;
        let kept = (-span / OWN_MS).exp();
        self.span_ms = self.span_ms * kept + span;
        self.own_ms = self.own_ms * kept + span * self.own as f64;
        self.sent *= kept;
        self.updated = now;
    }

    fn load(&self) -> f64 {
        self.sum.max(0.0) / self.reporting.max(1.0)
    }

    /// Returns the baseline.
    #[must_use]
    pub fn baseline(&self) -> Baseline {
        let load = self.load();
        let own = self.own_ms / self.span_ms.max(1.0) / self.upstreams.max(1.0);
        let compared = (ALL_COMPARED / self.upstreams.max(1.0)).min(1.0);
        #[allow(clippy::cast_precision_loss)]
        let on_the_way = SIGHTING_AGE.0 as f64;
        let residence_ms = (self.own_ms + INITIAL_RESIDENCE_MS) / (self.sent + 1.0);
        Baseline {
            load,
            others: (load - own).max(0.0),
            // Independent arrivals alone have the variance of their mean.
            variance: self.variance.unwrap_or_default().max(load),
            residence_ms,
            shared_fraction: compared / (1.0 + self.sent / self.span_ms.max(1.0) * on_the_way),
            return_ms: self.persistence.return_ms(residence_ms),
        }
    }
}
