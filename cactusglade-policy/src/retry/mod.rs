//! The budget that keeps retries from amplifying an outage.

use cactusglade_core::units::Millis;

/// Retries allowed for each fresh request, in thousandths of a retry.
const DEPOSIT: u64 = 200;
/// One retry, in the same unit.
const RETRY: u64 = 1_000;
/// Most that can be saved up, in the same unit.
const CAP: u64 = 50 * RETRY;
/// What a fresh daemon may spend, in the same unit.
const INITIAL: u64 = 10 * RETRY;

/// `Budget` allows at most one retry for five fresh requests over any longer time.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: INITIAL }
    }
}

impl Budget {
    /// Notes a fresh request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + DEPOSIT).min(CAP);
    }

    /// Takes one retry out, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.saved >= RETRY;
        if allowed {
            self.saved -= RETRY;
        }
        allowed
    }
}

const FIRST_BACKOFF: Millis = Millis(100);
const LAST_BACKOFF: Millis = Millis(5_000);

/// `Backoff` says how long an upstream that failed is left alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
    failed: Millis,
    until: Millis,
}

impl Backoff {
    /// Notes a failure; `draw` from 0 to 1 spreads the return so that daemons do not return at once.
    pub fn fail(&mut self, now: Millis, draw: f64) {
        let doubled = FIRST_BACKOFF.0 << self.failures.min(8);
        let span = doubled.min(LAST_BACKOFF.0);
        self.failures = self.failures.saturating_add(1);
        self.failed = now;
        self.until = now + Millis(span / 2 + scale(span / 2, draw));
    }

    /// Notes a success: the upstream is whole again.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Whether the upstream may be probed by one request, where there is no other to take it.
    #[must_use]
    pub fn is_probeable(&self, now: Millis) -> bool {
        self.failures == 0 || now - self.failed >= FIRST_BACKOFF
    }

    /// Whether the upstream may be tried.
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
