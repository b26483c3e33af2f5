//! Admission by the organisations' quotas.

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use crate::affinity;
use crate::quota::Bucket;

impl<R: Strategy> Broker<R> {
    /// Applies the quotas and this group's share of them; `is_first` says that no catalog was in
    /// force before, so that nothing is known of what the organisations have used.
    pub(super) fn update_buckets(&mut self, now: Millis, is_first: bool) {
        let catalog = self.catalog.clone();
        let known = |key: &arena::Organisation| catalog.organisations.get(*key).is_some();
        self.buckets.retain(|key, _| known(key));
        self.hashes.clear();
        for (key, organisation) in catalog.organisations.iter() {
            self.hashes
                .insert(affinity::short_hash(&organisation.name), key);
            let Some(quota) = &organisation.quota else {
                self.buckets.remove(&key);
                continue;
            };
            let new = if is_first {
                Bucket::empty
            } else {
                Bucket::full
            };
            let bucket = self.buckets.entry(key).or_insert_with(new);
            bucket.configure(now, quota, &self.options.tolerance, self.reachable_share);
        }
    }

    /// Charges units that other daemons admitted to an organisation's quota.
    #[allow(clippy::cast_precision_loss)]
    pub fn charge_remote(&mut self, organisation: u32, units: u64) {
        let key = self.hashes.get(&organisation);
        if let Some(bucket) = key.and_then(|key| self.buckets.get_mut(key)) {
            bucket.charge(units as f64);
        }
    }

    /// Returns the quota units that a request costs its organisation.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn units(&self, key: arena::Organisation, prompt: Option<&Prompt>) -> f64 {
        let organisation = self.catalog.organisations.get(key);
        let quota = organisation.and_then(|organisation| organisation.quota);
        match (quota, prompt) {
            (Some(quota), Some(prompt)) if quota.counts_tokens => {
                (prompt.input_tokens + prompt.max_output_tokens) as f64
            }
            (Some(quota), None) if quota.counts_tokens => quota.default_units as f64,
            _ => 1.0,
        }
    }

    /// Charges a request to its organisation's quota.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request can be admitted if the quota is used up.
    pub fn charge(
        &mut self,
        now: Millis,
        key: arena::Organisation,
        units: f64,
        is_small: bool,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return Ok(());
        };
        if bucket.take(now, units, is_small) {
            Ok(())
        } else {
            Err(bucket.retry_after())
        }
    }

    /// Checks that a request with a prompt would be admitted by its organisation's quota.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request can be admitted if the quota is used up.
    pub(super) fn check_quota(
        &mut self,
        now: Millis,
        key: Option<arena::Organisation>,
    ) -> Result<(), Millis> {
        let Some(bucket) = key.and_then(|key| self.buckets.get_mut(&key)) else {
            return Ok(());
        };
        if bucket.admits(now, false) {
            Ok(())
        } else {
            Err(bucket.retry_after())
        }
    }

    /// Refunds the units of a request that did not run.
    pub fn refund(&mut self, key: arena::Organisation, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.refund(units);
        }
    }
}
