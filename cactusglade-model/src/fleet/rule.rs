//! Ways to select an engine that the product does not use, for comparison.

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_policy::affinity;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::broker::Upstream;

use super::Model;
use super::millis;
use super::setup;

/// Cost of a running request and of one beyond the slots, in milliseconds, as in the product.
const LOAD_COST_MS: f64 = 1.5;
const QUEUE_COST_MS: f64 = 60.0;

/// `Rule` is a way to select an engine.
#[derive(Clone, Copy, Debug, Default)]
pub enum Rule {
    /// The product's own decisions.
    #[default]
    Product,
    /// Consistent hashing with bounded loads: the first engine by rank whose load is at most this
    /// multiple of the mean.
    BoundedLoads(f64),
    /// Each daemon knows the caches of all engines, as if datagrams stated them without delay, and
    /// selects the engine of least cost.
    SharedCaches,
}

impl<R: Strategy> Model<'_, R> {
    /// Returns the upstreams that the daemon must not select.
    pub(super) fn excluded(
        &self,
        now: f64,
        daemon: usize,
        prompt: &Prompt,
        tried: &[arena::Upstream],
    ) -> Vec<arena::Upstream> {
        let broker = &self.brokers[daemon];
        let upstreams = broker
            .upstreams()
            .filter(|(key, upstream)| upstream.is_available(millis(now)) && !tried.contains(key));
        let selected = match self.options.rule {
            Rule::Product => None,
            Rule::BoundedLoads(factor) => {
                bounded(now, upstreams.collect(), prompt.session(), factor)
            }
            Rule::SharedCaches => self.cheapest(now, upstreams, prompt),
        };
        let Some(selected) = selected else {
            return tried.to_vec();
        };
        let all = broker.upstreams().map(|(key, _)| key);
        all.filter(|key| *key != selected).collect()
    }

    #[allow(clippy::cast_precision_loss)]
    fn cheapest<'u>(
        &self,
        now: f64,
        upstreams: impl Iterator<Item = (arena::Upstream, &'u Upstream)>,
        prompt: &Prompt,
    ) -> Option<arena::Upstream> {
        let cost = |upstream: &Upstream| {
            let engine = setup::engine_index(&upstream.instance.name)?;
            let cached = self.engines.get(engine)?.cached(&prompt.parts);
            let uncached = prompt.input_tokens.saturating_sub(cached) as f64;
            let load = upstream.load(millis(now));
            let waiting = (load + 1.0 - upstream.instance.slots as f64).max(0.0);
            let prefill = uncached / self.options.profile.prefill_per_ms;
            Some(prefill + load * LOAD_COST_MS + waiting * QUEUE_COST_MS)
        };
        let costs = upstreams.filter_map(|(key, upstream)| Some((cost(upstream)?, key)));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, key)| key)
    }
}

#[allow(clippy::cast_precision_loss)]
fn bounded(
    now: f64,
    mut upstreams: Vec<(arena::Upstream, &Upstream)>,
    session: Option<u64>,
    factor: f64,
) -> Option<arena::Upstream> {
    let session = session?;
    let loads = upstreams.iter().map(|(_, one)| one.load(millis(now)));
    let mean = (loads.sum::<f64>() + 1.0) / upstreams.len().max(1) as f64;
    let bound = (mean * factor).ceil();
    upstreams.sort_by_key(|(_, one)| std::cmp::Reverse(affinity::weight(session, one.hash)));
    let mut ranked = upstreams.iter();
    let found = ranked.find(|(_, one)| one.load(millis(now)) < bound);
    found.map(|(key, _)| *key)
}
