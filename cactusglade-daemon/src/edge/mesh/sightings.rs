//! Sightings of upstreams: sent to the zone, and passed on between zones by the relays.

use std::collections::BTreeMap;

use cactusglade_core::fleet::Sighting;
use cactusglade_core::units::Millis;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Sightings;

use super::Mesh;
use crate::edge::broker;

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

impl Mesh {
    /// Sends what this daemon has seen of upstreams to its zone; the relay also passes on what its
    /// zone has seen to the other relays, and what those have sent to its zone.
    pub(super) async fn send_sightings(&mut self, now: Millis, own: &[Sighting]) {
        let neighbours = self.roster.neighbours(now).collect::<Vec<_>>();
        for part in Sightings::split(&self.zone, false, own) {
            self.send(&Datagram::Sightings(part), neighbours.iter().copied())
                .await;
        }
        let (outbound, inbound) = self.exchange.take(own);
        if !self.roster.is_relay(now) {
            return;
        }
        let relays = self.roster.relays(now);
        for part in Sightings::split(&self.zone, false, &outbound) {
            self.send(&Datagram::Sightings(part), relays.iter().copied())
                .await;
        }
        let parts = Sightings::split(&self.zone, true, &inbound);
        let parts = parts.into_iter().map(Datagram::Sightings);
        self.forward(now, &parts.collect::<Vec<_>>()).await;
    }

    /// Passes sightings on to the broker, and keeps them for the relay to pass on.
    pub(super) async fn receive_sightings(&mut self, now: Millis, sightings: Sightings) {
        if self.roster.is_relay(now) && !sightings.is_forwarded {
            let is_own_zone = sightings.zone == self.zone;
            self.exchange.add(is_own_zone, &sightings.entries);
        }
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::Learn(sightings.entries)).await;
    }
}
