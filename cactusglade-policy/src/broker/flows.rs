//! Estimates of the load of upstreams, for the services for which they are used.

use std::collections::BTreeMap;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Candidate;
use super::Query;
use super::Strategy;
use super::Upstream;
use crate::affinity;
use crate::estimate::Baseline;
use crate::estimate::Tuning;

impl<R: Strategy> Broker<R> {
    /// Returns whether any route for streams of the catalog is latency-critical.
    #[must_use]
    pub fn has_tight(&self) -> bool {
        !self.tight.is_empty()
    }

    /// Returns whether the loads of upstreams are estimated for a request.
    ///
    /// That holds for requests without a prompt, whose few upstreams suffer most from daemons that
    /// choose alike. Those with a prompt go where it is cached and read soon; random deviations of the
    /// load made their sessions move (docs/design/even-load.md).
    pub(super) fn estimates(&self, prompt: Option<&Prompt>) -> bool {
        self.has_tight() && prompt.is_none()
    }

    /// Sets how the parts of an estimate are weighed, for a comparison in the model.
    pub const fn tune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Returns the load of an upstream that the choice is to assume.
    pub(super) fn draw_load(&self, now: Millis, upstream: &Upstream, query: &Query<'_>) -> f64 {
        let flow = self.flows.get(&upstream.instance.service);
        let Some(flow) = flow.filter(|_| self.estimates(query.prompt)) else {
            return upstream.load(now);
        };
        let bits = affinity::weight(query.draw.to_bits(), upstream.hash);
        let estimate = &upstream.estimate;
        estimate.draw(
            now,
            upstream.in_flight,
            &flow.baseline(),
            &self.tuning,
            bits,
        )
    }

    /// Returns the load that is expected at the upstream of a candidate.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn expected_load(
        &self,
        now: Millis,
        candidate: &Candidate,
        prompt: Option<&Prompt>,
    ) -> f64 {
        let upstream = self.upstreams.get(candidate.upstream);
        let Some(upstream) = upstream.filter(|_| self.estimates(prompt)) else {
            return candidate.load;
        };
        let flow = self.flows.get(&upstream.instance.service);
        flow.map_or(candidate.load, |flow| {
            let (others, _) = upstream
                .estimate
                .others(now, &flow.baseline(), &self.tuning);
            upstream.in_flight as f64 + others
        })
    }

    /// Returns the time since the load of an upstream that was reported last.
    pub(super) fn load_age(
        &self,
        now: Millis,
        upstream: &Upstream,
        prompt: Option<&Prompt>,
    ) -> Option<Millis> {
        if self.estimates(prompt) {
            upstream.estimate.age(now)
        } else {
            upstream.load_age(now)
        }
    }

    /// Records that a request of this daemon was sent or has ended.
    pub(super) fn record_own(&mut self, now: Millis, key: arena::Upstream, is_sent: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.estimate.record_own(now, is_sent);
        if let Some(flow) = self.flows.get_mut(&upstream.instance.service) {
            flow.record_own(now, is_sent);
        }
    }

    /// Records the load of an upstream at a time.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn record_estimate(&mut self, at: Millis, key: arena::Upstream, load: u64) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(flow) = self.flows.get_mut(&upstream.instance.service) else {
            return;
        };
        let last = upstream.estimate.last();
        if last.is_some_and(|(before, _)| before > at) {
            return;
        }
        let (own, slots) = (upstream.in_flight, upstream.instance.slots as f64);
        let load = Baseline::bounded(load as f64, slots);
        let change = upstream.estimate.record(at, load, own);
        flow.record(load, change, last.map(|(before, load)| (at - before, load)));
    }

    /// Takes over the upstreams of the registry.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn index_flows(&mut self) {
        let mut averages = BTreeMap::<String, Vec<f64>>::new();
        for (_, upstream) in self.upstreams.iter() {
            let service = averages.entry(upstream.instance.service.clone());
            service.or_default().extend(upstream.estimate.average());
        }
        self.flows
            .retain(|service, _| averages.contains_key(service));
        for (service, averages) in averages {
            let count = self.services.get(&service).map_or(0, Vec::len);
            let flow = self.flows.entry(service).or_default();
            flow.reset(count as f64, &averages);
        }
    }
}
