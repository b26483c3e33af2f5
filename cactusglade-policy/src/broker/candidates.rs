//! Which upstreams may be sent a request, and what it would cost each of them.

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Candidate;
use super::PREFILL_TOKENS_PER_MS;
use super::Query;
use super::Strategy;
use super::Upstream;
use super::sample;
use crate::affinity;
use crate::affinity::Ranks;

/// Share of an engine's time that the own tokens of one session's prompts may take. A session that
/// needs more has several upstreams.
const SESSION_SHARE: f64 = 0.3;
/// Time after which an upstream has served requests of most routes.
const SERVED: Millis = Millis(5_000);

impl<R: Strategy> Broker<R> {
    /// Returns a sample of the upstreams that may serve the request, and the number of all of them.
    ///
    /// Upstreams that are doubted count only if there is no other.
    pub(super) fn candidates(
        &self,
        now: Millis,
        service: &str,
        is_tight: bool,
        query: &Query<'_>,
    ) -> (Vec<Candidate>, usize) {
        let keys = self.services.get(service).map(Vec::as_slice);
        let withheld = self.withheld_version(now, service);
        let residency = self.residency(query);
        let available = |key: &arena::Upstream| {
            let upstream = self.upstreams.get(*key)?;
            let is_open = upstream.is_available(now) && upstream.takes_requests(now);
            let is_allowed = withheld.is_none_or(|version| upstream.instance.version != version);
            let is_allowed = is_allowed && residency.allow(upstream);
            let is_eligible = is_open && is_allowed && !query.tried.contains(key);
            is_eligible.then_some((*key, upstream))
        };
        let available = keys.unwrap_or_default().iter().filter_map(available);
        let mut available = available.collect::<Vec<_>>();
        let session = query.prompt.and_then(Prompt::session);
        let ranks = session.map(|session| {
            let others = keys.filter(|_| is_tight);
            self.ranks(now, session, &available, others)
        });
        let compared = ranks.as_ref().map_or_else(Vec::new, |ranks| {
            if is_tight {
                ranks.compared(query.draw)
            } else {
                ranks.first().collect()
            }
        });
        if available
            .iter()
            .any(|(_, upstream)| !upstream.is_doubted(now))
        {
            available.retain(|(_, upstream)| !upstream.is_doubted(now));
        }
        let position = |(ranked, _): &(arena::Upstream, f64)| {
            available.iter().position(|(key, _)| key == ranked)
        };
        let ranked = compared.iter().filter_map(position).collect::<Vec<_>>();
        let sample = sample::indices(available.len(), ranked, query.draw);
        let candidates = sample.into_iter().map(|index| {
            let (key, upstream) = available[index];
            let share = compared.iter().find(|(ranked, _)| *ranked == key);
            let share = share.map_or(0.0, |(_, share)| *share);
            let has_served = is_tight && upstream.age(now).is_none_or(|age| age >= SERVED);
            let assumed = query
                .prompt
                .map_or(0.0, |prompt| affinity::assumed(prompt, share, has_served));
            let rank = ranks.as_ref().and_then(|ranks| ranks.rank(key));
            Candidate {
                // Sessions of other services have one upstream.
                rank: rank.filter(|rank| is_tight || *rank == 1),
                ..self.candidate(now, key, upstream, query, assumed)
            }
        });
        (candidates.collect(), available.len())
    }

    /// Ranks the available upstreams for a session. For a session of a latency-critical service `keys`
    /// are all upstreams, and those that have left are noted.
    fn ranks(
        &self,
        now: Millis,
        session: u64,
        available: &[(arena::Upstream, &Upstream)],
        keys: Option<&[arena::Upstream]>,
    ) -> Ranks<arena::Upstream> {
        let Some(keys) = keys else {
            let mut ranks = Ranks::new(session, 1);
            for (key, upstream) in available {
                ranks.insert(*key, upstream.hash, None);
            }
            return ranks;
        };
        let rate = self.demand.rate(now, session) * self.daemons;
        let needed = (rate / (PREFILL_TOKENS_PER_MS * SESSION_SHARE)).ceil();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let mut ranks = Ranks::new(session, needed as usize);
        for (key, upstream) in available {
            ranks.insert(*key, upstream.hash, upstream.age(now));
        }
        let upstreams = keys.iter().filter_map(|key| self.upstreams.get(*key));
        for upstream in upstreams.filter(|upstream| !upstream.is_available(now)) {
            ranks.insert_departed(upstream.hash);
        }
        ranks
    }

    #[allow(clippy::cast_precision_loss)]
    fn candidate(
        &self,
        now: Millis,
        key: arena::Upstream,
        upstream: &Upstream,
        query: &Query<'_>,
        assumed: f64,
    ) -> Candidate {
        let uncached = query.prompt.map_or(0.0, |prompt| {
            let cached = upstream.cache.cached(now, &prompt.parts) as f64;
            (prompt.input_tokens as f64 - cached.max(assumed)).max(0.0)
        });
        Candidate {
            upstream: key,
            rank: None,
            is_same_zone: upstream.instance.zone == self.options.zone,
            load: self.draw_load(now, upstream, query),
            slots: upstream.instance.slots as f64,
            backlog: upstream.backlog as f64
                + upstream
                    .reading
                    .tokens(now, self.reading_speed(now, upstream)),
            uncached,
            pace: upstream.pace.factor(now),
            failures: upstream.failures(now),
            latency: if query.prompt.is_some() {
                0.0
            } else {
                upstream.latency()
            },
        }
    }
}
