//! Retry budget, which keeps retries from amplifying an outage, and backoff of failed upstreams.

use cactusglade_core::units::Millis;

/// Deposit per new request, in thousandths of a retry.
const DEPOSIT: u64 = 200;
/// Cost of a retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Maximum balance, in thousandths of a retry.
const MAX_BALANCE: u64 = 50 * RETRY_COST;
/// Balance at the start, in thousandths of a retry.
const INITIAL_BALANCE: u64 = 10 * RETRY_COST;

/// `Budget` allows one retry per five new requests in the long run.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    balance: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl Budget {
    /// Adds the deposit of a new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(MAX_BALANCE);
    }

    /// Takes one retry if the balance allows, and returns whether it did.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= RETRY_COST;
        if allowed {
            self.balance -= RETRY_COST;
        }
        allowed
    }
}

const MIN_BACKOFF: Millis = Millis(100);
const MAX_BACKOFF: Millis = Millis(5_000);

/// `Backoff` is the exponential backoff of an upstream after failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    last_failure: Millis,
    until: Millis,
}

impl Backoff {
    /// Records a failure; `draw` from 0 to 1 is the jitter, so that not all daemons return at once.
    pub fn record_failure(&mut self, now: Millis, draw: f64) {
        let doubled = MIN_BACKOFF.0 << self.failures.min(8);
        let span = doubled.min(MAX_BACKOFF.0);
        self.failures = self.failures.saturating_add(1);
        self.last_failure = now;
        self.until = now + Millis(span / 2 + scale(span / 2, draw));
    }

    /// Records a success, which ends the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the upstream may be probed with one request if there is no other upstream.
    #[must_use]
    pub fn is_probeable(&self, now: Millis) -> bool {
        self.failures == 0 || now - self.last_failure >= MIN_BACKOFF
    }

    /// Returns whether the backoff is over.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
fn scale(span: u64, draw: f64) -> u64 {
    (span as f64 * draw.clamp(0.0, 1.0)) as u64
}
