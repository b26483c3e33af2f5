//! Keeps all daemons together within the rate of requests that a cold upstream tolerates.
//!
//! An upstream is cold for some seconds after it starts, and crashes well above a limited rate. The
//! rate is divided into slots, as the limits that upstreams state are (see [`crate::throttle`]), but
//! no daemon takes over the slots of another one before that one has been silent for long. See
//! `docs/design/warmup.md`.

mod standing;

use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

use crate::throttle::Layout;
use crate::throttle::Share;

pub use standing::Standing;

/// Longest time for which an upstream counts as cold after one statement that it is.
pub const MAX_COLD_TIME: Millis = Millis(60_000);
/// Requests per second that the shares leave to daemons that disagree on who owns a slot.
const SPARE_REQUESTS: f64 = 2.0;
/// Part of what is tolerated beyond the slots at which these refill where it leaves nothing to
/// spare.
const LEAST_REFILL: f64 = 0.5;

/// Factor by which callers return faster once an upstream is warm: it takes several times the
/// requests then.
const WARM_FACTOR: u64 = 4;

/// `Bounds` is how far the requests to a cold upstream may exceed its rate in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor of the rate.
    pub overshoot: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// `Origin` is the reason for which an upstream counts as cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Its registry entry says so.
    Registry,
    /// The evacuation of its zone has ended, during which it may have turned cold.
    Evacuation,
}

/// `Warmup` is until when one upstream is cold, and this daemon's share of what it takes meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmup {
    until: Millis,
    /// Rate of the service, `None` where its upstreams take any number of requests while cold.
    rate: Option<Rate>,
    share: Share,
    /// Until when this daemon may use its share without another check of its standing.
    confirmed_until: Millis,
}

/// Returns when a caller may return that would be due at a time by the rate of a cold upstream which
/// is warm from `warm_at` on.
#[must_use]
pub fn advance(due: Millis, warm_at: Millis) -> Millis {
    due.min(warm_at) + Millis((due - warm_at).0 / WARM_FACTOR)
}

impl Bounds {
    /// Returns the greatest number of requests that all daemons together may send in a second.
    #[must_use]
    pub fn requests(&self, rate: Rate) -> f64 {
        rate.per_second() * self.overshoot + self.slack
    }

    /// Returns the number of slots into which a rate is divided.
    ///
    /// Slots that have saved up one request each send as many within a second as there are slots,
    /// and one second of the rate.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn slots(&self, rate: Rate) -> u64 {
        let slots = self.requests(rate) - rate.per_second() - SPARE_REQUESTS;
        (slots.max(1.0)) as u64
    }

    /// Returns the requests per second of all slots together. It is below the rate where the slots
    /// and the rate would exceed what is tolerated.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn refill(&self, rate: Rate) -> f64 {
        let rest = self.requests(rate) - self.slots(rate) as f64;
        let refill = (rest - SPARE_REQUESTS).max(rest * LEAST_REFILL);
        refill.max(0.0).min(rate.per_second())
    }
}

impl Warmup {
    /// Records that the upstream is cold for some time from now on; the later end counts.
    pub fn extend(&mut self, now: Millis, span: Millis) {
        if now >= self.until {
            // Nothing is saved up from before.
            self.share.empty(now);
        }
        self.until = self.until.max(now + span.min(MAX_COLD_TIME));
    }

    /// Divides the rate of the service among the daemons of the fleet; `upstream` is the hash of the
    /// upstream's name. Without a rate the upstream takes any number of requests.
    #[allow(clippy::cast_precision_loss)]
    pub fn allot(
        &mut self,
        now: Millis,
        rate: Option<Rate>,
        bounds: &Bounds,
        upstream: u64,
        layout: Option<&Layout>,
    ) {
        if self.rate.is_none() {
            self.share.empty(now);
        }
        self.rate = rate;
        let (Some(rate), Some(layout)) = (rate, layout) else {
            self.share.resize(now, 0.0, 0.0);
            return;
        };
        let slots = bounds.slots(rate);
        let own = layout.lasting_share(upstream, slots);
        self.share
            .resize(now, own, bounds.refill(rate) * own / slots as f64);
    }

    /// Allows the use of the share until a time. Where it was not allowed until now, nothing is
    /// saved up.
    pub fn confirm(&mut self, now: Millis, until: Millis) {
        if now >= self.confirmed_until {
            self.share.empty(now);
        }
        self.confirmed_until = until;
    }

    /// Returns whether the upstream is cold, so that the number of requests to it is bounded.
    #[must_use]
    pub fn is_cold(&self, now: Millis) -> bool {
        self.rate.is_some() && now < self.until
    }

    /// Returns the time for which the upstream is still cold.
    #[must_use]
    pub fn left(&self, now: Millis) -> Millis {
        self.until - now
    }

    /// Returns the rate of all daemons together while the upstream is cold.
    #[must_use]
    pub fn rate(&self, now: Millis) -> Option<Rate> {
        self.rate.filter(|_| now < self.until)
    }

    /// Returns this daemon's requests per second while the upstream is cold.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share.rate()
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Millis) -> bool {
        !self.is_cold(now) || (now < self.confirmed_until && self.share.admits(now))
    }

    /// Returns the expected time until a request may be sent: that of the share, or the end of the
    /// cold time.
    #[must_use]
    pub fn wait(&self, now: Millis) -> Millis {
        if self.admits(now) {
            return Millis(0);
        }
        let share = self.share.wait(now).filter(|_| now < self.confirmed_until);
        share.map_or(self.left(now), |wait| wait.min(self.left(now)))
    }

    /// Records that a request is sent.
    pub fn take(&mut self, now: Millis) {
        self.share.take(now);
    }
}
