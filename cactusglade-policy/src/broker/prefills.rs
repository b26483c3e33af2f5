//! Long prompts that daemons tell each other of.

use cactusglade_core::arena;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::units::Millis;

use super::Broker;
use super::PREFILL_TOKENS_PER_MS;
use super::Strategy;
use super::Upstream;
use crate::affinity;
use crate::prefill;

/// Maximum number of prompts that wait to be told; more are dropped, since they would be told too
/// late.
const MAX_UNSHARED: usize = 64;

impl<R: Strategy> Broker<R> {
    /// Notes a long prompt that was sent to an upstream of a latency-critical service.
    pub(super) fn announce_prefill(
        &mut self,
        now: Millis,
        service: arena::Service,
        key: arena::Upstream,
        tokens: u64,
    ) {
        let Some(upstream) = self.upstreams.get(key).filter(|_| self.is_tight(service)) else {
            return;
        };
        let is_due = prefill::is_long(tokens, self.reading_speed(now, upstream))
            && self.unshared_prefills.len() < MAX_UNSHARED;
        let hash = affinity::short_hash(&upstream.instance.name);
        if is_due && self.prefill_allowance.take(now, self.daemons) {
            self.unshared_prefills.push((hash, tokens, now));
        }
    }

    /// Records a long prompt that another daemon has sent to an upstream.
    pub fn learn_prefill(&mut self, now: Millis, prefill: &Prefill) {
        let key = self.upstream_hashes.get(&prefill.upstream).copied();
        let Some((key, upstream)) = key.and_then(|key| Some((key, self.upstreams.get(key)?)))
        else {
            return;
        };
        let service = self.catalog.services.find(&upstream.instance.service);
        if !service.is_some_and(|service| self.is_tight(service)) {
            return;
        }
        let speed = self.reading_speed(now, upstream);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let age = Millis(prefill.age_ms);
            upstream.reading.add(now, age, prefill.tokens, speed);
        }
    }

    /// Returns the long prompts that other daemons are to be told of.
    pub fn take_prefills(&mut self, now: Millis) -> Vec<Prefill> {
        let prefills = std::mem::take(&mut self.unshared_prefills).into_iter();
        let prefills = prefills.map(|(upstream, tokens, at)| Prefill {
            upstream,
            tokens,
            age_ms: (now - at).0,
        });
        prefills.collect()
    }

    /// Returns the tokens per millisecond that an upstream is expected to read.
    pub(super) fn reading_speed(&self, now: Millis, upstream: &Upstream) -> f64 {
        let service = self.catalog.services.find(&upstream.instance.service);
        let usual = service.and_then(|service| self.prefill_speed(service));
        usual.unwrap_or(PREFILL_TOKENS_PER_MS) / upstream.pace.factor(now)
    }
}
