//! Explains where a request would be sent now, without sending it.

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Candidate;
use super::Query;
use super::Strategy;
use super::Upstream;
use super::pick_service;

/// `Exclusion` is the reason for which an upstream of the service is no candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// It is leaving or removed.
    Leaving,
    /// Its availability zone is evacuated.
    Evacuated,
    /// Its version gets no requests while another one serves.
    Withheld,
    /// It is in a region in which the request may not run.
    Region,
    /// It is cold, and this daemon's share of what it takes is used up.
    Cold,
    /// It has stated a limit, and this daemon's share of it is used up.
    Limit,
    /// It has asked for no requests for some time.
    Spared,
    /// Requests were lost there, and others are available.
    Doubted,
    /// It was not drawn into the sample that is compared.
    Unsampled,
}

impl Exclusion {
    /// Returns the name of the reason.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Withheld => "withheld",
            Self::Region => "region",
            Self::Cold => "cold",
            Self::Limit => "limit",
            Self::Spared => "spared",
            Self::Doubted => "doubted",
            Self::Unsampled => "unsampled",
        }
    }
}

/// `Explanation` is how an upstream would be selected for a request.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Service that the traffic split selects.
    pub service: arena::Service,
    /// Upstreams that are compared, with their costs in milliseconds.
    pub compared: Vec<(Candidate, f64)>,
    /// Index of the selected one; `None` if the request would be refused.
    pub selected: Option<usize>,
    /// Upstreams of the service that are not compared.
    pub excluded: Vec<(arena::Upstream, Exclusion)>,
    /// Whether the request would wait for room first ([`crate::admission`]).
    pub waits: bool,
}

impl<R: Strategy> Broker<R> {
    /// Returns how an upstream would be selected for a request now; nothing is charged or counted.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal where the route is not known or leads to no service.
    pub fn explain(&self, now: Millis, query: &Query<'_>) -> Result<Explanation, Kind> {
        let route = self.catalog.routes.get(query.route);
        let route = route.ok_or(Kind::UnknownRoute)?;
        let key = pick_service(&route.split, query.draw).ok_or(Kind::NoUpstream)?;
        let service = self.catalog.services.get(key).ok_or(Kind::NoUpstream)?;
        let (candidates, _) = self.candidates(now, &service.name, self.is_tight(key), query);
        let terms = self.terms(key, query);
        let selected = self.strategy.choose(&candidates, &terms, query.draw);
        let keys = self.services.get(&service.name).into_iter().flatten();
        let others = keys.filter(|key| candidates.iter().all(|one| one.upstream != **key));
        let withheld = self.withheld_version(now, &service.name);
        let residency = self.residency(query);
        let excluded = others.filter_map(|key| {
            let upstream = self.upstreams.get(*key)?;
            let is_withheld = withheld.is_some_and(|version| upstream.instance.version == version);
            let reason = if upstream.is_registered(now) && is_withheld {
                Exclusion::Withheld
            } else if upstream.is_available(now) && !residency.allow(upstream) {
                Exclusion::Region
            } else {
                exclusion(now, upstream)
            };
            Some((*key, reason))
        });
        let excluded = excluded.collect();
        let compared = candidates.into_iter().map(|candidate| {
            let cost = self.strategy.cost(&candidate, &terms);
            (candidate, cost)
        });
        Ok(Explanation {
            service: key,
            compared: compared.collect(),
            selected,
            excluded,
            waits: self.would_wait(now, query),
        })
    }
}

/// Returns why an upstream was not compared, as far as that is its own state.
fn exclusion(now: Millis, upstream: &Upstream) -> Exclusion {
    if !upstream.is_registered(now) {
        Exclusion::Leaving
    } else if !upstream.is_available(now) {
        Exclusion::Evacuated
    } else if !upstream.warmup.admits(now) {
        Exclusion::Cold
    } else if !upstream.throttle.admits(now) {
        Exclusion::Limit
    } else if !upstream.takes_requests(now) {
        Exclusion::Spared
    } else if upstream.is_doubted(now) {
        Exclusion::Doubted
    } else {
        Exclusion::Unsampled
    }
}
