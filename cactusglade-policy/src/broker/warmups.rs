//! Cold upstreams: known from registry entries and from evacuations that have ended.

use cactusglade_core::arena;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use crate::warmup::Origin;

/// `Transition` is an upstream that turned cold or warm, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The upstream is cold, for the reason given.
    Cold(arena::Upstream, Origin),
    /// The upstream is warm.
    Warm(arena::Upstream),
}

impl<R: Strategy> Broker<R> {
    /// Counts all upstreams of a zone as cold for the whole cold time of their service from now on.
    ///
    /// They may have turned cold shortly before, and the registry may say so later.
    pub fn presume_cold(&mut self, now: Millis, zone: &str) {
        let upstreams = self.upstreams.iter();
        let upstreams = upstreams.filter(|(_, one)| one.instance.zone == zone);
        let spans = upstreams.filter_map(|(key, one)| {
            let services = &self.catalog.services;
            let service = services.get(services.find(&one.instance.service)?)?;
            Some((key, service.cold_time))
        });
        for (key, span) in spans.collect::<Vec<_>>() {
            self.mark_cold(now, key, span, Origin::Evacuation);
        }
    }

    /// Records that an upstream is cold for some time from now on; the later end counts.
    pub(super) fn mark_cold(
        &mut self,
        now: Millis,
        key: arena::Upstream,
        span: Millis,
        origin: Origin,
    ) {
        let Some(upstream) = self.upstreams.get_mut(key).filter(|_| span > Millis(0)) else {
            return;
        };
        upstream.warmup.extend(now, span);
        self.allot_cold(now, key);
        let is_cold = self
            .upstreams
            .get(key)
            .is_some_and(|one| one.warmup.is_cold(now));
        if is_cold && self.cold.insert(key, origin).is_none() {
            self.transitions.push(Transition::Cold(key, origin));
        }
    }

    /// Divides what cold upstreams take anew, after a change of the catalog or of the fleet.
    pub(super) fn allot_all_cold(&mut self, now: Millis) {
        let upstreams = self.upstreams.iter();
        let cold = upstreams.filter(|(_, one)| one.warmup.left(now) > Millis(0));
        for key in cold.map(|(key, _)| key).collect::<Vec<_>>() {
            self.allot_cold(now, key);
            let is_cold = self
                .upstreams
                .get(key)
                .is_some_and(|one| one.warmup.is_cold(now));
            if is_cold && !self.cold.contains_key(&key) {
                self.cold.insert(key, Origin::Registry);
                self.transitions
                    .push(Transition::Cold(key, Origin::Registry));
            }
        }
    }

    fn allot_cold(&mut self, now: Millis, key: arena::Upstream) {
        let Some(bounds) = self.options.cold else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let services = &self.catalog.services;
        let service = services.find(&upstream.instance.service);
        let service = service.and_then(|key| services.get(key));
        let rate = service.and_then(|service| service.cold_rate);
        let (hash, layout) = (upstream.hash, self.layout.as_ref());
        upstream.warmup.allot(now, rate, &bounds, hash, layout);
        let until = self.standing.valid_until();
        upstream.warmup.confirm(now, until);
    }

    /// Checks whether this daemon may use its shares of what cold upstreams take, and which of these
    /// are warm again. To be called with each heartbeat.
    pub fn check_cold(&mut self, now: Millis) {
        let detection = self.options.tolerance.detection;
        let layout = self.layout.as_ref();
        self.standing
            .check(now, detection, layout, self.reachable_share);
        let until = self.standing.valid_until();
        let (upstreams, transitions) = (&mut self.upstreams, &mut self.transitions);
        self.cold.retain(|key, _| {
            let Some(upstream) = upstreams.get_mut(*key) else {
                return false;
            };
            upstream.warmup.confirm(now, until);
            let is_cold = upstream.warmup.is_cold(now);
            if !is_cold {
                transitions.push(Transition::Warm(*key));
            }
            is_cold
        });
    }

    /// Returns which upstreams have turned cold or warm since the last call.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    /// Returns the number of cold upstreams.
    #[must_use]
    pub fn cold_upstreams(&self) -> usize {
        self.cold.len()
    }
}
