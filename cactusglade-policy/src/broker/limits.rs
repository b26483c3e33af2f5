//! Limits that upstreams state: recorded from answers and from what other daemons share.

use cactusglade_core::arena;
use cactusglade_core::fleet::Limit;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use crate::affinity;
use crate::throttle::Statement;

impl<R: Strategy> Broker<R> {
    /// Records what an answer says of its upstream's limit; returns whether the limit changes.
    pub fn record_limit(&mut self, key: arena::Upstream, statement: Statement) -> bool {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_change = upstream.throttle.record(statement);
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
        upstream.throttle.record(statement).then_some(key)
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
