//! Keeps a daemon that was suspended from passing on what waited in its socket meanwhile.

use cactusglade_core::units::Millis;

/// Number of heartbeat intervals without a tick of the daemon's own after which it has been
/// suspended.
const MAX_MISSED_TICKS: u64 = 2;
/// Time after a suspension within which the datagrams that arrived during it are read.
const DRAIN_TIME: Millis = Millis(200);

/// `Guard` says whether what a daemon receives may have waited for it while it was suspended.
///
/// Datagrams state ages as of their sending, so that a late one would make old loads look new to a
/// whole list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Guard {
    ticked: Option<Millis>,
    held_until: Millis,
}

impl Guard {
    /// Records a tick of the daemon, which is due after each interval between heartbeats.
    pub fn tick(&mut self, now: Millis, interval: Millis) {
        if self.is_overdue(now, interval) {
            self.held_until = now + DRAIN_TIME;
        }
        self.ticked = Some(now);
    }

    /// Returns whether the daemon passes on what it receives now.
    #[must_use]
    pub fn passes(&self, now: Millis, interval: Millis) -> bool {
        now >= self.held_until && !self.is_overdue(now, interval)
    }

    fn is_overdue(&self, now: Millis, interval: Millis) -> bool {
        let max_pause = Millis(interval.0 * MAX_MISSED_TICKS);
        self.ticked.is_some_and(|ticked| now - ticked >= max_pause)
    }
}
