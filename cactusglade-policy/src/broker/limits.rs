//! Limits that upstreams state: recorded from answers and from what other daemons share.

use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Limit;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

use super::Broker;
use super::Denied;
use super::Query;
use super::Strategy;
use super::Upstream;
use crate::affinity;
use crate::throttle::Layout;
use crate::throttle::Statement;
use crate::warmup;

impl<R: Strategy> Broker<R> {
    /// Records what an answer says of its upstream's limit; returns whether the limit changes.
    pub fn record_limit(
        &mut self,
        now: Millis,
        key: arena::Upstream,
        statement: Statement,
    ) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_change = upstream.throttle.record(statement);
        if is_change {
            self.allot(now, key);
        }
        if is_change || statement.rate.is_some() {
            self.unshared_limits.insert(key);
        }
        is_change
    }

    /// Records what another daemon knows of an upstream's limit; returns the upstream if its limit
    /// changes.
    pub fn learn_limit(&mut self, now: Millis, limit: &Limit) -> Option<arena::Upstream> {
        let key = *self.upstream_hashes.get(&limit.upstream)?;
        let upstream = self.upstreams.get_mut(key)?;
        let statement = Statement {
            rate: limit.rate,
            at: now - Millis(limit.age_ms),
        };
        if upstream.throttle.refutes(&statement) {
            self.unshared_limits.insert(key);
        }
        let is_change = upstream.throttle.record(statement);
        if is_change {
            self.allot(now, key);
        }
        is_change.then_some(key)
    }

    /// Divides the limits anew after daemons came, left, or lost touch.
    pub fn rearrange(&mut self, now: Millis, layout: Layout) {
        self.layout = Some(layout);
        let keys = self.upstreams.iter().map(|(key, _)| key);
        for key in keys.collect::<Vec<_>>() {
            self.allot(now, key);
        }
        self.allot_all_cold(now);
    }

    fn allot(&mut self, now: Millis, key: arena::Upstream) {
        if let (Some(upstream), Some(layout)) = (self.upstreams.get_mut(key), &self.layout) {
            upstream.throttle.allot(now, upstream.hash, layout);
        }
    }

    /// Returns why no upstream of a service can be sent a request, and when to come back.
    pub(super) fn denied(
        &mut self,
        now: Millis,
        key: arena::Service,
        service: &str,
        query: &Query<'_>,
    ) -> Denied {
        let keys = self.services.get(service).into_iter().flatten();
        let untried = keys.filter(|key| !query.tried.contains(key));
        let upstreams = untried.filter_map(|key| self.upstreams.get(*key));
        let withheld = self.withheld_version(now, service);
        let residency = self.residency(query);
        let registered = upstreams.filter(|one| {
            one.is_registered(now) && withheld.is_none_or(|version| one.instance.version != version)
        });
        let (registered, elsewhere) = registered.partition::<Vec<_>, _>(|one| residency.allow(one));
        if registered.is_empty() {
            return no_upstream(!elsewhere.is_empty());
        }
        let available = registered.into_iter();
        let available = available.filter(|one| one.is_available(now));
        let available = available.collect::<Vec<_>>();
        if available.is_empty() {
            let mut tried = query
                .tried
                .iter()
                .filter_map(|key| self.upstreams.get(*key));
            // Upstreams in open zones that did not run the request are a reason too.
            if tried.any(|one| one.is_available(now)) {
                return Kind::NoUpstream.into();
            }
            return Kind::Evacuated.into();
        }
        // They take no request now, or one of them would have been chosen.
        let openings = available.iter().filter_map(|one| {
            let wait = one.throttle.wait(now)?.max(one.warmup.wait(now));
            Some(one.spared_until.max(now + wait))
        });
        let even = |rate: Rate| rate.per_second() / self.daemons;
        let rates = available.iter().filter_map(|one| {
            let limit = one.throttle.rate().map(even);
            let cold = one.warmup.rate(now).map(even);
            let own = cold.map(|even| {
                Some(one.warmup.share())
                    .filter(|own| *own > 0.0)
                    .unwrap_or(even)
            });
            limit.into_iter().chain(own).min_by(f64::total_cmp)
        });
        let rate = rates.sum::<f64>();
        let cold = available.iter().filter(|one| one.warmup.is_cold(now));
        let ends = cold.map(|one| now + one.warmup.left(now));
        let warm_at = ends.min();
        let reason = reason(now, &available);
        let earliest = openings.min().unwrap_or(now);
        let schedule = self.returns.entry(key).or_default();
        let due = schedule.admit(now, earliest, rate);
        let due = warm_at.map_or(due, |warm_at| warmup::advance(due, warm_at));
        Denied {
            kind: Kind::Overloaded,
            retry_after: Some(due - now),
            reason: Some(reason),
        }
    }

    /// Returns the limits that other daemons are to be told.
    pub fn take_limits(&mut self, now: Millis) -> Vec<Limit> {
        let upstreams = self.upstreams.iter();
        let due = upstreams.filter(|(_, one)| one.throttle.is_repeat_due(now));
        let mut keys = std::mem::take(&mut self.unshared_limits);
        keys.extend(due.map(|(key, _)| key));
        let limits = keys.into_iter().filter_map(|key| {
            let upstream = self.upstreams.get_mut(key)?;
            upstream.throttle.record_sharing(now);
            let stated = upstream.throttle.stated();
            Some(Limit {
                upstream: affinity::short_hash(&upstream.instance.name),
                rate: stated.rate,
                age_ms: (now - stated.at).0,
            })
        });
        limits.collect()
    }
}

/// Returns the refusal where no upstream that may run the request is left; `is_elsewhere` says that
/// some are in other regions.
fn no_upstream(is_elsewhere: bool) -> Denied {
    let denied = Denied::from(Kind::NoUpstream);
    Denied {
        reason: if is_elsewhere {
            Some(Reason::Region)
        } else {
            denied.reason
        },
        ..denied
    }
}

/// Returns what keeps available upstreams from taking a request.
fn reason(now: Millis, available: &[&Upstream]) -> Reason {
    if available.iter().any(|one| !one.warmup.admits(now)) {
        Reason::Cold
    } else if available.iter().any(|one| !one.throttle.admits(now)) {
        Reason::Limit
    } else {
        Reason::Spared
    }
}
