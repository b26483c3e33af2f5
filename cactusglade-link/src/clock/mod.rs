//! The daemon's clocks: a monotonic one for durations, and Unix time for deadlines that other
//! processes share.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cactusglade_core::units::Millis;

/// `Clock` is a monotonic clock that starts at zero when it is made.
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
    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns a time of this clock as an instant for timers.
    #[must_use]
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        (self.started + std::time::Duration::from_millis(at.0)).into()
    }
}

/// Returns the Unix time in milliseconds from the system clock.
#[must_use]
pub fn unix_time() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
