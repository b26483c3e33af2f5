//! Decides which requests with a prompt wait at the daemon while their upstreams lack room.
//!
//! Engines process requests in the order of their priority, but a request that runs keeps its slot.
//! Where requests with a long latency target take all slots, those with a short one wait for them. See
//! `docs/design/admission.md`.

mod line;
mod sent;

use cactusglade_core::catalog::Route;
use cactusglade_core::units::Millis;

pub use line::Line;
pub use line::Times;
pub use line::Waiter;

/// Latency target from which a route is deferrable, as a multiple of the service's shortest one.
const DEFERRABLE_TARGETS: u64 = 2;
/// Longest time to read what an upstream has pending, as a share of the service's shortest latency
/// target, for the upstream to have room: an urgent request that follows still has most of its time.
const MAX_PENDING_SHARE: f64 = 0.2;
/// Share of an upstream's slots that deferrable requests leave free for urgent ones.
const RESERVED_SHARE: f64 = 0.25;
/// The same for a deferrable request that would be late if it waited longer. Where such requests were
/// sent without a bound, they took all slots.
const LAST_RESERVED_SHARE: f64 = 0.1;
/// The same for a deferrable request that is late in any case: others still have a target to meet.
const LATE_RESERVED_SHARE: f64 = 0.5;
/// Bounds of the pause until waiting requests look for room again. It is random, so that daemons with
/// the same information don't all send to the same upstream.
const PAUSE: (Millis, Millis) = (Millis(50), Millis(150));
/// Time that callers wait for the first event of a stream at least, and in multiples of the latency
/// target and of the longest pause between events.
const LEAST_WAIT: Millis = Millis(2_000);
const WAIT_TARGETS: u64 = 4;
const WAIT_GAPS: u64 = 8;

/// `Stage` is how far the wait of a deferrable request has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It can wait on and be in time.
    Early,
    /// It would be late if it waited longer.
    Last,
    /// It is late in any case.
    Late,
}

/// `Room` is the state of an upstream by which it has room for a deferrable request.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Running and waiting requests.
    pub load: f64,
    /// Requests that the upstream runs concurrently.
    pub slots: f64,
    /// Time to read the pending prompts in milliseconds.
    pub pending_ms: f64,
}

impl Room {
    /// Returns whether a deferrable request leaves enough for urgent ones; `shortest` is the shortest
    /// latency target of the service.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn suffices(&self, shortest: Millis, stage: Stage) -> bool {
        let reserved = match stage {
            Stage::Last => LAST_RESERVED_SHARE,
            Stage::Early => RESERVED_SHARE,
            Stage::Late => LATE_RESERVED_SHARE,
        };
        self.pending_ms <= shortest.0 as f64 * MAX_PENDING_SHARE
            && self.load + 1.0 <= self.slots * (1.0 - reserved)
    }
}

/// Returns whether requests with this latency target may wait for room; `shortest` is the shortest
/// latency target of the service.
#[must_use]
pub const fn is_deferrable(target: Millis, shortest: Millis) -> bool {
    target.0 >= shortest.0 * DEFERRABLE_TARGETS
}

/// Returns how long the caller of a request waits for the first event.
#[must_use]
pub fn patience(route: &Route, arrived: Millis, deadline: Millis) -> Millis {
    let total = deadline - arrived;
    if !route.semantics.is_stream() {
        return total;
    }
    let targets = Millis(route.latency_target.0 * WAIT_TARGETS);
    let gaps = Millis(route.max_gap.0 * WAIT_GAPS);
    total.min(LEAST_WAIT.max(targets).max(gaps))
}

/// Returns the time until waiting requests look for room again; `draw` is from 0 to 1.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn pause(draw: f64) -> Millis {
    let (least, greatest) = PAUSE;
    let span = (greatest - least).0 as f64 * draw.clamp(0.0, 1.0);
    least + Millis(span as u64)
}

/// Returns the longest pause.
#[must_use]
pub const fn longest_pause() -> Millis {
    PAUSE.1
}
