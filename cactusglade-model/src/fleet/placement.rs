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

/// Number of engines that are drawn at random, as in the product.
const SAMPLE_SIZE: u64 = 4;

/// `Placement` is a way to select an engine.
#[derive(Clone, Copy, Debug, Default)]
pub enum Placement {
    /// The product's own decisions.
    #[default]
    Product,
    /// Consistent hashing with bounded loads: the first engine by rank whose load is at most this
    /// multiple of the mean.
    BoundedLoads(f64),
    /// Each daemon knows the caches of all engines, as if datagrams stated them without delay, and
    /// compares the engine that has most of the prompt and four at random.
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
        let selected = match self.options.placement {
            Placement::Product => None,
            Placement::BoundedLoads(factor) => {
                bounded(now, upstreams.collect(), prompt.session(), factor)
            }
            Placement::SharedCaches => self.cheapest(now, &upstreams.collect::<Vec<_>>(), prompt),
        };
        let Some(selected) = selected else {
            return tried.to_vec();
        };
        let all = broker.upstreams().map(|(key, _)| key);
        all.filter(|key| *key != selected).collect()
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    fn cheapest(
        &self,
        now: f64,
        upstreams: &[(arena::Upstream, &Upstream)],
        prompt: &Prompt,
    ) -> Option<arena::Upstream> {
        let cached = |upstream: &Upstream| {
            let engine = setup::engine_index(&upstream.instance.name)?;
            Some(self.engines.get(engine)?.cached(&prompt.parts))
        };
        let cost = |(key, upstream): &(arena::Upstream, &Upstream)| {
            let uncached = prompt.input_tokens.saturating_sub(cached(upstream)?) as f64;
            let load = upstream.load(millis(now));
            let waiting = (load + 1.0 - upstream.instance.slots as f64).max(0.0);
            let prefill = uncached / self.options.profile.prefill_per_ms;
            Some((
                prefill + load * LOAD_COST_MS + waiting * QUEUE_COST_MS,
                *key,
            ))
        };
        let best = upstreams.iter().max_by_key(|(_, one)| cached(one))?;
        let numbers = (1..=SAMPLE_SIZE).map(|index| affinity::weight(now.to_bits(), index));
        // The modulus is the number of upstreams, which fits.
        let indices = numbers.map(|number| (number % upstreams.len() as u64) as usize);
        let compared = indices.map(|index| &upstreams[index]).chain([best]);
        let least = compared.filter_map(cost).min_by(|a, b| a.0.total_cmp(&b.0));
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
