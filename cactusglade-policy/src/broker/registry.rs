//! Applies changes of the registry, and delays removals around an outage of the store.

use std::collections::BTreeSet;

use cactusglade_core::arena;
use cactusglade_core::fleet::Change;
use cactusglade_core::fleet::Instance;
use cactusglade_core::fleet::Phase;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use super::Upstream;
use crate::affinity;
use crate::warmup::Origin;

/// Time after an outage of the store within which upstreams renew entries that expired during it.
const STORE_GRACE: Millis = Millis(2_000);
/// Maximum delay of a removal; an upstream that has left may receive requests for at most two
/// seconds.
const MAX_REMOVAL_DELAY: Millis = Millis(1_700);
/// Time after its removal for which the state of an upstream is kept, longer than any stream.
const RETENTION: Millis = Millis(30_000);

impl<R: Strategy> Broker<R> {
    /// Records whether the store is unreachable.
    pub fn set_store_unreachable(&mut self, now: Millis, is_unreachable: bool) {
        if self.store_unreachable && !is_unreachable {
            self.store_regained = Some(now);
        }
        self.store_unreachable = is_unreachable;
    }

    /// Applies a snapshot of the registry and returns the upstreams that newly leave.
    ///
    /// Upstreams that the snapshot lacks have been removed.
    pub fn apply_snapshot(&mut self, now: Millis, changes: Vec<Change>) -> Vec<arena::Upstream> {
        let missing = self.missing(&listed(&changes));
        self.apply(now, changes.into_iter().chain(missing))
    }

    /// Applies a snapshot of a registry that was restored from a copy, and returns the upstreams that
    /// newly leave.
    ///
    /// The copy is older than what is known. It does not bring back an upstream that was removed
    /// since, nor an earlier incarnation; an upstream that it lacks has time to register again.
    pub fn apply_copy(&mut self, now: Millis, mut changes: Vec<Change>) -> Vec<arena::Upstream> {
        self.store_regained = Some(now);
        let missing = self.missing(&listed(&changes));
        changes.retain(|change| match change {
            Change::Put(instance) => !self.outlives(instance),
            Change::Removed(_) => true,
        });
        self.apply(now, changes.into_iter().chain(missing))
    }

    /// Returns whether what is known of an upstream is newer than an entry in a copy.
    fn outlives(&self, entry: &Instance) -> bool {
        let known = self.upstreams.find(&entry.name);
        known
            .and_then(|key| self.upstreams.get(key))
            .is_some_and(|known| {
                known.removal.is_some() || entry.started_unix_ms < known.instance.started_unix_ms
            })
    }

    /// Returns the removals of the upstreams that are not listed.
    fn missing(&self, listed: &BTreeSet<String>) -> Vec<Change> {
        let names = self.upstreams.names();
        let missing = names.filter(|name| !listed.contains(*name));
        missing
            .map(|name| Change::Removed(name.to_owned()))
            .collect()
    }

    /// Applies changes of the registry and returns the upstreams that newly leave.
    pub fn apply(
        &mut self,
        now: Millis,
        changes: impl IntoIterator<Item = Change>,
    ) -> Vec<arena::Upstream> {
        let mut leaving = Vec::new();
        // What a daemon finds as it starts may have served for long.
        let appeared = (!self.services.is_empty()).then_some(now);
        for change in changes {
            match change {
                Change::Put(instance) => leaving.extend(self.put(now, *instance, appeared)),
                Change::Removed(name) => leaving.extend(self.remove(now, &name)),
            }
        }
        self.index_services();
        leaving
    }

    fn put(
        &mut self,
        now: Millis,
        instance: Instance,
        appeared: Option<Millis>,
    ) -> Option<arena::Upstream> {
        let leaves = instance.phase == Phase::Leaving;
        let cold_left = instance.cold_left;
        let name = instance.name.clone();
        let key = self.upstreams.get_or_insert_with(
            &name,
            |known: &Upstream| is_same(&known.instance, &instance),
            || Upstream::new(instance.clone(), appeared),
        );
        let region = self.region(&instance.zone);
        let upstream = self.upstreams.get_mut(key)?;
        upstream.region = region;
        upstream.is_evacuated = self.evacuations.is_evacuated(&instance.zone);
        upstream.instance = instance;
        upstream.removal = None;
        self.mark_cold(now, key, cold_left, Origin::Registry);
        let upstream = self.upstreams.get_mut(key)?;
        if leaves && upstream.leaving.is_none() {
            upstream.leaving = Some(now);
            return Some(key);
        }
        None
    }

    /// Removes an upstream, after a delay if the store is or was just unreachable.
    ///
    /// The entry may have expired only because the upstream could not renew it.
    fn remove(&mut self, now: Millis, name: &str) -> Option<arena::Upstream> {
        let regained = self.store_regained.filter(|at| now - *at < STORE_GRACE);
        let outage = if self.store_unreachable {
            Some(now)
        } else {
            regained
        };
        let key = self.upstreams.find(name)?;
        let upstream = self.upstreams.get_mut(key)?;
        let removal = outage.map_or(now, |outage| {
            (outage + STORE_GRACE).min(now + MAX_REMOVAL_DELAY)
        });
        let is_new = upstream.removal.is_none() && upstream.leaving.is_none();
        upstream.removal.get_or_insert(removal);
        (is_new && outage.is_none()).then_some(key)
    }

    fn index_services(&mut self) {
        self.services.clear();
        self.upstream_hashes.clear();
        for (key, upstream) in self.upstreams.iter() {
            let hash = affinity::short_hash(&upstream.instance.name);
            self.upstream_hashes.insert(hash, key);
            let service = upstream.instance.service.clone();
            self.services.entry(service).or_default().push(key);
        }
        self.index_flows();
    }

    /// Drops upstreams that were removed long ago and have no request of this daemon in flight.
    pub fn remove_expired(&mut self, now: Millis) {
        let is_expired = |upstream: &Upstream| {
            let expired = upstream
                .removal
                .is_some_and(|until| now > until + RETENTION);
            expired && upstream.in_flight == 0
        };
        let expired = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_expired(upstream));
        let expired = expired.map(|(_, upstream)| upstream.instance.name.clone());
        let expired = expired.collect::<Vec<_>>();
        for name in &expired {
            self.upstreams.remove(name);
        }
        if !expired.is_empty() {
            self.index_services();
        }
    }
}

/// Returns the names of the upstreams that have an entry.
fn listed(changes: &[Change]) -> BTreeSet<String> {
    let names = changes.iter().filter_map(|change| match change {
        Change::Put(instance) => Some(instance.name.clone()),
        Change::Removed(_) => None,
    });
    names.collect()
}

/// Returns whether two entries describe the same process.
fn is_same(before: &Instance, after: &Instance) -> bool {
    before.started_unix_ms == after.started_unix_ms
        && before.address == after.address
        && before.service == after.service
}
