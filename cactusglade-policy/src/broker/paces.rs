//! Paces of upstreams: recorded from answers and from what other daemons share.

use cactusglade_core::arena;
use cactusglade_core::fleet::Pace;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use crate::affinity;
use crate::pace;

impl<R: Strategy> Broker<R> {
    /// Records the pace that an answer states, in percent of the usual time.
    pub fn record_pace(&mut self, now: Millis, key: arena::Upstream, percent: u64) {
        let count = self.upstreams.len();
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.pace.record(percent, now) && upstream.pace.is_due(now, count) {
            self.unshared_paces.insert(key);
        }
    }

    /// Records what another daemon knows of an upstream's pace.
    pub fn learn_pace(&mut self, now: Millis, pace: &Pace) {
        let key = self.upstream_hashes.get(&pace.upstream()).copied();
        let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(key)) else {
            return;
        };
        match *pace {
            Pace::Stated {
                percent,
                age_ms,
                lasting,
                span_ms,
                ..
            } => {
                let at = now - Millis(age_ms);
                upstream
                    .pace
                    .learn(now, percent, at, lasting, Millis(span_ms));
            }
            Pace::Measured { .. } => {}
        }
    }

    /// Returns the paces that other daemons are to be told.
    ///
    /// One that another daemon has told meanwhile is left out. Those beyond the allowance wait.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn take_paces(&mut self, now: Millis) -> Vec<Pace> {
        let count = self.upstreams.len();
        let mut paces = Vec::new();
        for key in std::mem::take(&mut self.unshared_paces) {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                continue;
            };
            if !upstream.pace.is_due(now, count) {
                continue;
            }
            if !self.allowance.take(now, self.daemons) {
                self.unshared_paces.insert(key);
                continue;
            }
            let told = upstream.pace.tell(now);
            paces.extend(told.map(|(newest, at, lasting)| Pace::Stated {
                upstream: affinity::short_hash(&upstream.instance.name),
                percent: pace::percent(newest),
                age_ms: (now - at).0,
                lasting: pace::percent(lasting.factor),
                span_ms: lasting.span as u64,
            }));
        }
        paces
    }
}
