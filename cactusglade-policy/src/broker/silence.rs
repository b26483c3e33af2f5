//! Whether an upstream's load explains that it has not answered a request.

use cactusglade_core::units::Millis;

use super::Broker;
use super::Grant;
use super::Strategy;
use crate::silence::Condition;
use crate::silence::Extension;
use crate::silence::Wait;

impl<R: Strategy> Broker<R> {
    /// Returns how long to wait on for an answer, if the load of the upstream explains that there is
    /// none yet. It does only for latency-critical services.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn explains_silence(&self, now: Millis, grant: &Grant, wait: &Wait) -> Option<Extension> {
        let upstream = self.upstreams.get(grant.upstream);
        let upstream = upstream.filter(|_| self.is_tight(grant.service))?;
        let speed = self.reading_speed(now, upstream);
        let pending = upstream.backlog as f64 + upstream.reading.tokens(now, speed);
        let at_first = grant.basis.backlog.saturating_add(grant.uncached) as f64;
        let condition = Condition {
            heard: upstream.heard()?,
            received: now - upstream.load_age(now)?,
            load: upstream.reported_load(),
            slots: upstream.instance.slots,
            pending_ms: pending.max(at_first) / speed,
            pace: upstream.pace.factor(now),
        };
        wait.extend(now, &condition)
    }
}
