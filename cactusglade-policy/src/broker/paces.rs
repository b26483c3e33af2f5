//! Paces of upstreams: recorded from answers and from what other daemons share.

use std::collections::BTreeSet;

use cactusglade_core::arena;
use cactusglade_core::fleet::Pace;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Grant;
use super::PREFILL_TOKENS_PER_MS;
use super::Query;
use super::Strategy;
use super::Terms;
use super::Upstream;
use crate::affinity;
use crate::pace;
use crate::pace::Speed;

/// Slots that an upstream must have for each running request, for the time to read a prompt to be
/// measured: where most slots are taken, prompts wait for each other.
const MEASURED_SLOTS_PER_REQUEST: u64 = 4;
const NANOS_PER_MILLI: f64 = 1_000_000.0;

impl<R: Strategy> Broker<R> {
    /// Records the pace that an answer states, in percent of the usual time.
    pub fn record_pace(&mut self, now: Millis, key: arena::Upstream, percent: u64) {
        let (count, own) = (self.upstreams.len(), self.own);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let repeat_delay_share = repeat_delay_share(own, upstream);
        if upstream.pace.record(percent, now)
            && upstream.pace.is_due(now, count, repeat_delay_share)
        {
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
            Pace::Measured { token_ns, .. } => {
                let service = upstream.instance.service.clone();
                let service = self.catalog.services.find(&service);
                if let (Some(key), Some(service)) = (key, service) {
                    #[allow(clippy::cast_precision_loss)]
                    let token_ms = token_ns as f64 / NANOS_PER_MILLI;
                    self.measure(now, key, service, token_ms);
                }
            }
        }
    }

    /// Records the time to the first event of a request with a prompt, for services that are
    /// latency-critical.
    pub(super) fn measure_prompt(&mut self, now: Millis, grant: &Grant, latency: Millis) {
        let upstream = self.upstreams.get(grant.upstream);
        let slots = upstream.map_or(0, |upstream| upstream.instance.slots);
        let is_calm = grant.basis.load.saturating_mul(MEASURED_SLOTS_PER_REQUEST) <= slots;
        let token_ms = pace::token_ms(grant.uncached, latency);
        let is_measured = is_calm && self.is_tight(grant.service);
        let Some(token_ms) = token_ms.filter(|_| is_measured) else {
            return;
        };
        self.measure(now, grant.upstream, grant.service, token_ms);
        let upstream = self.upstreams.get(grant.upstream);
        let is_stated = upstream.is_none_or(|upstream| upstream.pace.is_stated(now));
        let is_due = self
            .measured
            .is_none_or(|(_, _, at)| now - at >= pace::MEASURED_INTERVAL);
        if !is_stated && is_due {
            self.measured = Some((grant.upstream, token_ms, now));
            self.is_measured_unshared = true;
        }
    }

    fn measure(
        &mut self,
        now: Millis,
        key: arena::Upstream,
        service: arena::Service,
        token_ms: f64,
    ) {
        let is_tight = self.is_tight(service);
        let Some(upstream) = self.upstreams.get_mut(key).filter(|_| is_tight) else {
            return;
        };
        let is_stated = upstream.pace.is_stated(now);
        let usual = if is_stated {
            token_ms / upstream.pace.factor(now)
        } else {
            token_ms
        };
        let speed = self.speeds.entry(service);
        let speed = speed.or_insert_with(|| Speed::new(PREFILL_TOKENS_PER_MS));
        if let Some(ratio) = speed.record(usual).filter(|_| !is_stated) {
            upstream.pace.measure(ratio);
        }
    }

    /// Forgets what was measured at services that are not latency-critical in the catalog in force.
    pub(super) fn forget_measured(&mut self) {
        self.speeds
            .retain(|service, _| self.tight.contains_key(service));
        let tight = self.tight.keys();
        let tight = tight.filter_map(|key| self.catalog.services.get(*key));
        let names = tight.map(|service| service.name.clone());
        let names = names.collect::<BTreeSet<_>>();
        let keys = self.upstreams.iter().map(|(key, _)| key);
        for key in keys.collect::<Vec<_>>() {
            if let Some(upstream) = self.upstreams.get_mut(key)
                && !names.contains(&upstream.instance.service)
            {
                upstream.pace.forget_measured();
            }
        }
    }

    /// Returns the speed at which the upstreams of a latency-critical service read prompts, in tokens
    /// per millisecond, once it is measured.
    #[must_use]
    pub fn prefill_speed(&self, service: arena::Service) -> Option<f64> {
        self.speeds.get(&service).map(Speed::tokens_per_ms)
    }

    /// Returns what the strategy is to know of a request.
    pub(super) fn terms(&self, service: arena::Service, query: &Query<'_>) -> Terms {
        if !self.is_tight(service) {
            return Terms::default();
        }
        let speed = self.speeds.get(&service);
        let route = self.catalog.routes.get(query.route);
        let target = route.filter(|_| query.prompt.is_some());
        Terms {
            tokens_per_ms: speed.map_or(PREFILL_TOKENS_PER_MS, Speed::tokens_per_ms),
            target: target.map(|route| route.latency_target),
        }
    }

    /// Returns the newest measured time that other daemons are to be told.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn take_measured(&mut self, now: Millis) -> Option<Pace> {
        let (key, token_ms, _) = self.measured.filter(|_| self.is_measured_unshared)?;
        self.is_measured_unshared = false;
        let upstream = self.upstreams.get(key)?;
        let is_allowed = self.pace_allowance.take(now, self.daemons);
        is_allowed.then(|| Pace::Measured {
            upstream: affinity::short_hash(&upstream.instance.name),
            token_ns: (token_ms * NANOS_PER_MILLI) as u64,
        })
    }

    /// Returns the paces that other daemons are to be told.
    ///
    /// One that another daemon has told meanwhile is left out. Those beyond the allowance wait.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn take_paces(&mut self, now: Millis) -> Vec<Pace> {
        let (count, own) = (self.upstreams.len(), self.own);
        let mut paces = Vec::new();
        for key in std::mem::take(&mut self.unshared_paces) {
            let Some(upstream) = self.upstreams.get_mut(key) else {
                continue;
            };
            if !upstream
                .pace
                .is_due(now, count, repeat_delay_share(own, upstream))
            {
                continue;
            }
            if !self.pace_allowance.take(now, self.daemons) {
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
        paces.extend(self.take_measured(now));
        paces
    }
}

/// Returns how long this daemon waits for others to tell an upstream's pace again, from 0 to 1.
#[allow(clippy::cast_possible_truncation)]
fn repeat_delay_share(own: u32, upstream: &Upstream) -> f64 {
    let weight = affinity::weight(u64::from(own), upstream.hash);
    f64::from((weight >> u32::BITS) as u32) / f64::from(u32::MAX)
}
