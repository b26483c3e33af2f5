//! Evacuated zones: no new request is sent to their upstreams.

use cactusglade_core::arena;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;

impl<R: Strategy> Broker<R> {
    /// Records statements of the store or of another daemon; returns the evacuations that begin or
    /// end.
    pub fn learn_evacuations(&mut self, now: Millis, statements: &[Evacuation]) -> Vec<Evacuation> {
        let changes = statements
            .iter()
            .filter_map(|statement| self.evacuations.learn(now, statement));
        let changes = changes.collect();
        self.follow(now, changes)
    }

    /// Records a read of all orders in the store; returns the evacuations that begin or end.
    pub fn read_evacuations(
        &mut self,
        now: Millis,
        revision: Revision,
        orders: &[Evacuation],
    ) -> Vec<Evacuation> {
        let changes = self.evacuations.read(now, revision, orders);
        self.follow(now, changes)
    }

    /// Returns the evacuations that end because a restored store has not got their orders again.
    pub fn settle_evacuations(&mut self, now: Millis) -> Vec<Evacuation> {
        let changes = self.evacuations.settle(now);
        self.follow(now, changes)
    }

    /// Returns the evacuations, and ends of some, that other daemons are to be told.
    pub fn take_evacuations(&mut self, now: Millis) -> Vec<Evacuation> {
        self.evacuations.take_unshared(now)
    }

    /// Iterates over the zones that are evacuated.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &str> {
        self.evacuations.evacuated()
    }

    /// Returns the upstreams of a zone.
    #[must_use]
    pub fn upstreams_in(&self, zone: &str) -> Vec<arena::Upstream> {
        let upstreams = self.upstreams.iter();
        let upstreams = upstreams.filter(|(_, one)| one.instance.zone == zone);
        upstreams.map(|(key, _)| key).collect()
    }

    /// Applies changes to the upstreams of their zones.
    fn follow(&mut self, now: Millis, changes: Vec<Evacuation>) -> Vec<Evacuation> {
        for change in &changes {
            for key in self.upstreams_in(&change.zone) {
                if let Some(upstream) = self.upstreams.get_mut(key) {
                    upstream.is_evacuated = change.is_ordered;
                }
            }
            if !change.is_ordered {
                self.presume_cold(now, &change.zone);
            }
        }
        changes
    }
}
