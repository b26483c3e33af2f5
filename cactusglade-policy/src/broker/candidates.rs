//! Which upstreams may be sent a request, and what it would cost each of them.

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Candidate;
use super::Query;
use super::Strategy;
use super::Upstream;
use super::sample;
use crate::affinity;

/// Share of a session's shared tokens that its preferred upstream is assumed to have cached.
const ASSUMED_CACHED_SHARE: f64 = 0.95;

impl<R: Strategy> Broker<R> {
    /// Returns a sample of the upstreams that may serve the request, and the number of all of them.
    ///
    /// Upstreams that are doubted count only if there is no other.
    pub(super) fn candidates(
        &self,
        now: Millis,
        service: &str,
        query: &Query<'_>,
    ) -> (Vec<Candidate>, usize) {
        let keys = self.services.get(service).map(Vec::as_slice);
        let withheld = self.withheld_version(now, service);
        let available = |key: &arena::Upstream| {
            let upstream = self.upstreams.get(*key)?;
            let is_open = upstream.is_available(now) && upstream.takes_requests(now);
            let is_allowed = withheld.is_none_or(|version| upstream.instance.version != version);
            let is_eligible = is_open && is_allowed && !query.tried.contains(key);
            is_eligible.then_some((*key, upstream))
        };
        let available = keys.unwrap_or_default().iter().filter_map(available);
        let mut available = available.collect::<Vec<_>>();
        let session = query.prompt.and_then(Prompt::session);
        let preferred = session.and_then(|session| {
            let weight = |upstream: &Upstream| affinity::weight(session, upstream.hash);
            let keys = available.iter().map(|(key, one)| (weight(one), *key));
            keys.max().map(|(_, key)| key)
        });
        if available
            .iter()
            .any(|(_, upstream)| !upstream.is_doubted(now))
        {
            available.retain(|(_, upstream)| !upstream.is_doubted(now));
        }
        let is_preferred = |(key, _): &(_, &Upstream)| preferred == Some(*key);
        let position = available.iter().position(is_preferred);
        let sample = sample::indices(available.len(), position, query.draw);
        let candidates = sample.into_iter().map(|index| {
            let (key, upstream) = available[index];
            self.candidate(now, key, upstream, query, position == Some(index))
        });
        (candidates.collect(), available.len())
    }

    #[allow(clippy::cast_precision_loss)]
    fn candidate(
        &self,
        now: Millis,
        key: arena::Upstream,
        upstream: &Upstream,
        query: &Query<'_>,
        is_preferred: bool,
    ) -> Candidate {
        let uncached = query.prompt.map_or(0.0, |prompt| {
            let cached = upstream.cache.cached(now, &prompt.parts) as f64;
            let shared = prompt.parts.iter().rev().skip(1).map(|part| part.tokens);
            let shared = shared.sum::<u64>() as f64;
            let assumed = if is_preferred {
                shared * ASSUMED_CACHED_SHARE
            } else {
                0.0
            };
            (prompt.input_tokens as f64 - cached.max(assumed)).max(0.0)
        });
        Candidate {
            upstream: key,
            is_same_zone: upstream.instance.zone == self.options.zone,
            load: self.draw_load(now, upstream, query.draw),
            slots: upstream.instance.slots as f64,
            backlog: upstream.backlog as f64,
            uncached,
            failures: upstream.failures(now),
            latency: if query.prompt.is_some() {
                0.0
            } else {
                upstream.latency()
            },
        }
    }
}
