//! Which daemon owns which slot of an upstream's rate.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::affinity;

/// `Layout` is what one daemon knows of the fleet.
///
/// A slot belongs to a zone in proportion to the zone's daemons, and within the zone to one of the
/// daemons that reach each other. Only the daemons of a zone know which of them are reachable. The
/// slots of a zone that is cut off stay with it, so that both sides together keep to the limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Layout {
    /// Address of this daemon.
    pub own: SocketAddr,
    /// Zone of this daemon.
    pub zone: String,
    /// Number of daemons in each zone, this one included, also of those that can't be reached.
    pub zones: BTreeMap<String, u64>,
    /// Other daemons of this zone that can be reached.
    pub neighbours: BTreeSet<SocketAddr>,
    /// Other daemons of this zone, also those that have been silent for a while.
    pub zone_members: BTreeSet<SocketAddr>,
    /// Number of daemons in each zone by the list in the store, which counts those of a zone from
    /// which nothing was heard.
    pub listed: BTreeMap<String, u64>,
}

impl Layout {
    /// Returns the layout of a fleet of one daemon.
    #[must_use]
    pub fn new(own: SocketAddr, zone: &str) -> Self {
        Self {
            own,
            zone: zone.to_owned(),
            zones: BTreeMap::from([(zone.to_owned(), 1)]),
            neighbours: BTreeSet::new(),
            zone_members: BTreeSet::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Returns whether all other daemons of this zone can be reached. A daemon that has heard from
    /// none although some are listed doesn't know.
    #[must_use]
    pub fn is_zone_whole(&self) -> bool {
        let has_heard = self.zones.values().sum::<u64>() > 1;
        let knows_all = has_heard || self.listed.is_empty();
        knows_all && self.zone_members.is_subset(&self.neighbours)
    }

    /// Returns how many of an upstream's slots belong to this daemon.
    ///
    /// Where there is at least one for each daemon, all have the same number, which need not be
    /// whole. Otherwise the slots go to daemons that differ between upstreams.
    #[must_use]
    pub fn share(&self, upstream: u64, slots: u64) -> f64 {
        self.divide(upstream, slots, &self.zones, &self.neighbours)
    }

    /// Returns how many of an upstream's slots belong to this daemon, where the slots of daemons that
    /// can't be reached stay with them.
    ///
    /// A daemon that is cut off or suspended for some seconds finds its slots unused. A zone from
    /// which nothing was heard counts as the list in the store says.
    #[must_use]
    pub fn lasting_share(&self, upstream: u64, slots: u64) -> f64 {
        let mut zones = self.zones.clone();
        for (zone, daemons) in &self.listed {
            zones.entry(zone.clone()).or_insert(*daemons);
        }
        self.divide(upstream, slots, &zones, &self.zone_members)
    }

    #[allow(clippy::cast_precision_loss)]
    fn divide(
        &self,
        upstream: u64,
        slots: u64,
        zones: &BTreeMap<String, u64>,
        others: &BTreeSet<SocketAddr>,
    ) -> f64 {
        let daemons = zones.values().sum::<u64>().max(1);
        if slots >= daemons {
            return slots as f64 / daemons as f64;
        }
        let slots = (0..slots).map(|slot| affinity::weight(slot, upstream));
        slots.filter(|slot| self.owns(*slot, zones, others)).count() as f64
    }

    fn owns(
        &self,
        slot: u64,
        zones: &BTreeMap<String, u64>,
        others: &BTreeSet<SocketAddr>,
    ) -> bool {
        let zones = zones.iter().flat_map(|(zone, daemons)| {
            let hash = affinity::hash(zone);
            let ranks = (0..*daemons).map(move |index| affinity::weight(index, hash));
            ranks.map(move |rank| (affinity::weight(slot, rank), zone))
        });
        if zones.max().is_some_and(|(_, zone)| *zone != self.zone) {
            return false;
        }
        let rank = |daemon: &SocketAddr| {
            let hash = affinity::hash(&daemon.to_string());
            affinity::weight(slot, hash)
        };
        let own = rank(&self.own);
        others.iter().all(|one| rank(one) < own)
    }
}
