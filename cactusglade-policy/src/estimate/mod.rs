//! Estimates the present load of upstreams from reports that are always somewhat late.
//!
//! A report is late by the time until a daemon hears of it, and the other daemons, which have heard
//! the same, go on sending meanwhile. So the load that other daemons cause is taken to return from
//! what was reported to the baseline of the service, as fast as requests end there. This
//! daemon's own requests are known exactly. See `docs/design/even-load.md`.

mod flow;

use std::collections::VecDeque;

use cactusglade_core::units::Millis;

use crate::affinity;

pub use flow::Baseline;
pub use flow::Flow;

/// Mean age of what another daemon has seen when it arrives: it waits for the next heartbeat at its
/// sender, and at the relays of both zones.
pub const SIGHTING_AGE: Millis = Millis(250);
/// Time for which changes of the own requests are kept, longer than reports are on their way.
const HISTORY: Millis = Millis(1_000);
/// Changes kept for one upstream, so that a fast one doesn't cost more.
const MAX_CHANGES: usize = 64;
/// Time over which an upstream's reports are averaged, in milliseconds.
const AVERAGE_MS: f64 = 1_000.0;
/// Uncertainty of a report itself, in requests: one may have come or gone on its way.
const REPORT_VARIANCE: f64 = 0.5;

/// `Tuning` weighs the parts of an estimate; the product uses the default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Factor of the random deviation, in standard deviations of the estimate. Where a daemon sends
    /// next to nothing itself, 2 and less let hundreds of daemons follow the same reports, and with
    /// 4 and more they are hardly used.
    pub deviation: f64,
    /// Factor of the time in which the load returns to the baseline.
    pub return_time: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            deviation: 3.0,
            return_time: 1.0,
        }
    }
}

/// `Estimate` is what is known of the load of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Time of which the last report speaks.
    reported: Option<Millis>,
    /// Load that other daemons caused then.
    others: f64,
    /// Load that was reported.
    level: f64,
    /// Average of the reported loads.
    average: f64,
    /// Changes of the number of own requests in flight, the latest last.
    changes: VecDeque<(Millis, bool)>,
}

impl Estimate {
    /// Records that a request of this daemon was sent or has ended.
    pub fn record_own(&mut self, now: Millis, is_sent: bool) {
        let is_old = |(at, _): &(Millis, bool)| now - *at > HISTORY;
        while self.changes.front().is_some_and(is_old) || self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back((now, is_sent));
    }

    /// Records a report of the load at a time, in which this daemon's requests of that time are
    /// counted; `own` is the number of its requests in flight now.
    ///
    /// Returns the change of the average; the whole average for the first report.
    pub fn record(&mut self, at: Millis, load: f64, own: u64) -> f64 {
        if self.reported.is_some_and(|reported| reported > at) {
            return 0.0;
        }
        self.others = (load - self.own_at(at, own)).max(0.0);
        // The request whose answer states the load is in the load.
        let before = (load - 1.0).max(0.0);
        let weight = self
            .reported
            .map_or(1.0, |reported| 1.0 - relaxation(at - reported, AVERAGE_MS));
        self.level = load;
        self.reported = Some(at);
        let change = (before - self.average) * weight;
        self.average += change;
        change
    }

    /// Returns the number of own requests in flight at an earlier time.
    #[allow(clippy::cast_precision_loss)]
    fn own_at(&self, at: Millis, own: u64) -> f64 {
        let later = self.changes.iter().rev().take_while(|(when, _)| *when > at);
        let change = later.map(|(_, is_sent)| if *is_sent { 1.0 } else { -1.0 });
        (own as f64 - change.sum::<f64>()).max(0.0)
    }

    /// Returns the time since the load that was reported last.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.reported.map(|reported| now - reported)
    }

    /// Returns the load that was reported last, and the time of which that report speaks.
    #[must_use]
    pub fn last(&self) -> Option<(Millis, f64)> {
        self.reported.map(|reported| (reported, self.level))
    }

    /// Returns the average of the reported loads, `None` without a report.
    #[must_use]
    pub fn average(&self) -> Option<f64> {
        self.reported.map(|_| self.average)
    }

    /// Returns the load that other daemons are expected to cause now, and the variance of that.
    #[must_use]
    pub fn others(&self, now: Millis, baseline: &Baseline, tuning: &Tuning) -> (f64, f64) {
        let Some(age) = self.age(now) else {
            return (baseline.others, baseline.variance);
        };
        let kept = relaxation(age, baseline.return_ms * tuning.return_time);
        let expected = baseline.others + (self.others - baseline.others) * kept;
        let variance = baseline.variance * (1.0 - kept * kept) + REPORT_VARIANCE * kept * kept;
        (expected, variance)
    }

    /// Returns a load drawn at random from the loads that are likely, own requests included.
    ///
    /// All daemons have heard the same. If each drew no load but compared the expected ones, all
    /// would choose the same upstream until the next report.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn draw(
        &self,
        now: Millis,
        own: u64,
        baseline: &Baseline,
        tuning: &Tuning,
        draw: u64,
    ) -> f64 {
        let (expected, variance) = self.others(now, baseline, tuning);
        let deviation = variance.max(0.0).sqrt() * tuning.deviation * baseline.shared_fraction;
        own as f64 + (expected + deviation * normal(draw)).max(0.0)
    }
}

/// Returns the share of a difference that is left after a time.
#[allow(clippy::cast_precision_loss)]
fn relaxation(span: Millis, time_ms: f64) -> f64 {
    (-(span.0 as f64) / time_ms.max(1.0)).exp()
}

/// Returns a number with mean 0 and deviation 1, nearly normally distributed, from random bits.
fn normal(bits: u64) -> f64 {
    const PARTS: u32 = 4;
    let bits = affinity::weight(bits, 2);
    let bytes = bits.to_le_bytes();
    let parts = bytes.chunks_exact(2);
    let parts = parts.map(|part| (f64::from(part[0]) + 256.0 * f64::from(part[1])) / 65_536.0);
    // A uniform number has the variance 1/12.
    (parts.sum::<f64>() - f64::from(PARTS) / 2.0) * (12.0 / f64::from(PARTS)).sqrt()
}
