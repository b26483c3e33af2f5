//! Whether a daemon may use its shares.

use cactusglade_core::units::Millis;

use crate::throttle::Layout;

/// Time after a daemon has lost the others for which it may still use its shares. It is shorter than
/// the time after which the others take over the slots of a daemon that is silent (20 s).
const MAX_ISOLATION: Millis = Millis(15_000);
/// Number of detection times in which a daemon that has started, or that was suspended, learns of
/// all others.
const DETECTIONS_TO_SETTLE: u64 = 2;
/// Part of the detection time for which a check holds. Other daemons consider this one unreachable
/// only later, and checks are made with each heartbeat, several times in that time.
const CHECKS_PER_DETECTION: u64 = 2;
/// Share of the daemons from which on the others are no majority, which alone takes slots over.
const HALF: f64 = 0.5;

/// `Standing` is whether this daemon knows the fleet well enough to use its shares.
///
/// A daemon that has just started doesn't know who owns the slots, one that was suspended may not
/// know who has taken over its own, and one that has lost the others for long can't know either.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Since when checks follow each other without a break.
    since: Option<Millis>,
    /// Until when the next check is due.
    due: Millis,
    /// When this daemon last was in touch with the others.
    touched: Option<Millis>,
    valid_until: Millis,
}

impl Standing {
    /// Checks the standing; to be called regularly.
    ///
    /// `detection` is the time within which daemons notice that another one is unreachable, and
    /// `reachable_share` is the share of the daemons that this one reaches.
    pub fn check(
        &mut self,
        now: Millis,
        detection: Millis,
        layout: Option<&Layout>,
        reachable_share: f64,
    ) {
        let Some(layout) = layout else { return };
        if now >= self.due {
            self.since = None;
        }
        let since = *self.since.get_or_insert(now);
        self.due = now + Millis(detection.0 / CHECKS_PER_DETECTION);
        if layout.is_zone_whole() || reachable_share >= HALF {
            self.touched = Some(now);
        }
        let is_settled = now - since >= Millis(detection.0 * DETECTIONS_TO_SETTLE);
        let is_in_touch = self.touched.is_some_and(|at| now - at < MAX_ISOLATION);
        let is_valid = is_settled && is_in_touch;
        self.valid_until = if is_valid { self.due } else { Millis(0) };
    }

    /// Returns until when shares may be used without another check.
    #[must_use]
    pub const fn valid_until(&self) -> Millis {
        self.valid_until
    }
}
