//! The daemon's clocks: a monotonic one for durations, and Unix time for deadlines that other
//! processes share.
//!
//! A host may be suspended for seconds. The system's steady clock leaves that time out, while it
//! passes for all other daemons; a daemon that believed it would act under a lease that another one
//! has taken. See `docs/incidents/suspended-holder.md`.

use std::future::Future;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use cactusglade_core::units::Millis;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Interval at which a time limit is compared with the clock, which timers don't follow across a
/// suspension; well below the time for which calls of a suspended holder are tolerated.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// `Clock` is a monotonic clock that starts at zero when it is made, and counts the time for which the
/// host was suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started: uptime() }
    }
}

impl Clock {
    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        let since = uptime().saturating_sub(self.started);
        Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns a time of this clock as the time since the start of the host, see [`uptime`].
    #[must_use]
    pub fn uptime_at(&self, at: Millis) -> Duration {
        self.started + Duration::from_millis(at.0)
    }

    /// Returns a time of this clock as an instant for timers.
    ///
    /// A timer that is set before a suspension fires late by its duration.
    #[must_use]
    pub fn instant(&self, at: Millis) -> tokio::time::Instant {
        tokio::time::Instant::now() + Duration::from_millis((at - self.now()).0)
    }

    /// Awaits a future until a time of this clock, also across a suspension; `None` if it has not ended
    /// by then.
    pub async fn timeout_at<T>(&self, at: Millis, future: impl Future<Output = T>) -> Option<T> {
        tokio::pin!(future);
        loop {
            let remaining = Duration::from_millis((at - self.now()).0);
            if remaining.is_zero() {
                return None;
            }
            let checked = tokio::time::timeout(remaining.min(CHECK_INTERVAL), &mut future);
            if let Ok(output) = checked.await {
                return Some(output);
            }
        }
    }

    /// Sleeps until a time of this clock, also across a suspension.
    pub async fn sleep_until(&self, at: Millis) {
        // The time limit is the only end of the wait.
        let _ = self.timeout_at(at, std::future::pending::<()>()).await;
    }
}

/// Returns the time since the start of the host, including suspensions.
///
/// # Panics
///
/// Panics where the system lacks the clock: a time that stood still would keep the lease forever.
#[must_use]
pub fn uptime() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("the system has CLOCK_BOOTTIME"))
}

/// Returns the Unix time in milliseconds from the system clock.
#[must_use]
pub fn unix_time() -> Millis {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
