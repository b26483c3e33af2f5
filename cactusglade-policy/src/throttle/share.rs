//! One daemon's part of a rate that all daemons share.

use cactusglade_core::units::Millis;

/// `Share` is the requests that this daemon may send an upstream: it accumulates at a rate, up to a
/// capacity, and begins empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Number of requests that the share holds if none is sent.
    capacity: f64,
    /// Requests per second.
    rate: f64,
    /// Requests that may be sent now.
    level: f64,
    updated: Millis,
}

impl Share {
    /// Sets the capacity and the rate in requests per second; what exceeds the capacity is lost.
    pub fn resize(&mut self, now: Millis, capacity: f64, rate: f64) {
        self.refill(now);
        self.capacity = capacity.max(0.0);
        self.rate = rate.max(0.0);
        self.level = self.level.min(self.capacity);
    }

    /// Drops what has accumulated.
    pub const fn empty(&mut self, now: Millis) {
        self.level = 0.0;
        self.updated = now;
    }

    /// Returns the requests per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Millis) -> bool {
        self.level(now) >= 1.0
    }

    /// Returns the time until a request may be sent; `None` where none ever may.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn wait(&self, now: Millis) -> Option<Millis> {
        let missing = (1.0 - self.level(now)).max(0.0);
        let can_send = self.capacity >= 1.0 && self.rate > 0.0;
        can_send.then(|| Millis((missing / self.rate * 1_000.0).ceil() as u64))
    }

    /// Records that a request is sent.
    pub fn take(&mut self, now: Millis) {
        self.refill(now);
        self.level = (self.level - 1.0).max(0.0);
    }

    fn refill(&mut self, now: Millis) {
        self.level = self.level(now);
        self.updated = now;
    }

    #[allow(clippy::cast_precision_loss)]
    fn level(&self, now: Millis) -> f64 {
        let span = (now - self.updated).0 as f64 / 1_000.0;
        (self.level + span * self.rate).min(self.capacity)
    }
}
