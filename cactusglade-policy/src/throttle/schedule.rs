//! When refused callers may return.

use cactusglade_core::units::Millis;

/// Longest time after which a refused caller may return; limits change meanwhile.
const MAX_DELAY: Millis = Millis(5_000);

/// `Schedule` spreads the return of refused callers, in the order of their refusals.
///
/// Callers that all returned when the next request is taken would be refused again, all but one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next: Millis,
}

impl Schedule {
    /// Returns when a caller that is refused now may return: not before `earliest`, and as long after
    /// the previous one as a service that takes `rate` requests a second needs for one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn admit(&mut self, now: Millis, earliest: Millis, rate: f64) -> Millis {
        let due = self.next.max(earliest).min(earliest.max(now + MAX_DELAY));
        let interval = if rate > 0.0 { 1_000.0 / rate } else { 0.0 };
        self.next = due + Millis(interval.ceil() as u64);
        due
    }
}
