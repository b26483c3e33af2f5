//! The daemon's clocks: one that never jumps for spans, one that others share for deadlines.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cactusglade_core::units::Millis;

/// `Clock` counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            started: Instant::now(),
        }
    }
}

impl Clock {
    /// Time since the start on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// The same as a point for timers.
    #[must_use]
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        (self.started + std::time::Duration::from_millis(at.0)).into()
    }
}

/// Unix time in milliseconds, from the wall clock.
#[must_use]
pub fn unix_time() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
