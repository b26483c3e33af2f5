//! Sightings of upstreams that a relay has still to pass on.

use std::collections::BTreeMap;

use cactusglade_core::fleet::Sighting;

/// `Exchange` keeps the latest sighting of each upstream until the next heartbeat.
#[derive(Debug, Default)]
pub struct Exchange {
    /// What the relay's own zone has seen, for the other zones.
    outbound: BTreeMap<u32, Sighting>,
    /// What the other zones have seen, for the relay's own zone.
    inbound: BTreeMap<u32, Sighting>,
}

impl Exchange {
    /// Adds sightings that were received from the own zone or from another one.
    pub fn add(&mut self, is_own_zone: bool, sightings: &[Sighting]) {
        let target = if is_own_zone {
            &mut self.outbound
        } else {
            &mut self.inbound
        };
        merge(target, sightings);
    }

    /// Takes the sightings for the other zones, to which `own` belong too, and those for the own
    /// zone.
    pub fn take(&mut self, own: &[Sighting]) -> (Vec<Sighting>, Vec<Sighting>) {
        let mut outbound = std::mem::take(&mut self.outbound);
        merge(&mut outbound, own);
        let inbound = std::mem::take(&mut self.inbound);
        (
            outbound.into_values().collect(),
            inbound.into_values().collect(),
        )
    }
}

fn merge(target: &mut BTreeMap<u32, Sighting>, sightings: &[Sighting]) {
    for sighting in sightings {
        let known = target.entry(sighting.upstream);
        known
            .or_insert(Sighting::new(sighting.upstream))
            .update(sighting);
    }
}
