//! What daemons share about upstreams.

use cactusglade_core::arena;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::units::Millis;

use super::Broker;
use super::Strategy;
use crate::estimate::SIGHTING_AGE;

impl<R: Strategy> Broker<R> {
    /// Returns what this daemon has seen of upstreams since the last call.
    pub fn take_sightings(&mut self) -> Vec<Sighting> {
        std::mem::take(&mut self.sightings).into_values().collect()
    }

    /// Records what another daemon has seen of an upstream; returns the upstream if that takes it
    /// out.
    pub fn record_sighting(&mut self, now: Millis, sighting: &Sighting) -> Option<arena::Upstream> {
        let key = *self.upstream_hashes.get(&sighting.upstream)?;
        let upstream = self.upstreams.get_mut(key)?;
        if let Some(load) = sighting.load {
            upstream.record_load(now, load, 0);
            upstream.hear(now - SIGHTING_AGE);
            self.record_estimate(now - SIGHTING_AGE, key, load);
            self.quarantine.record_alive(now, sighting.upstream);
        }
        let upstream = self.upstreams.get_mut(key)?;
        if let Some(delay) = sighting.delay_ms {
            upstream.record_delay(now, Millis(delay));
        }
        let daemon = sighting.lost_by?;
        upstream.record_loss(now, daemon).then_some(key)
    }

    /// Returns what is to be shared of an upstream next.
    pub(super) fn sighting(&mut self, upstream: u32) -> &mut Sighting {
        self.sightings
            .entry(upstream)
            .or_insert(Sighting::new(upstream))
    }
}
