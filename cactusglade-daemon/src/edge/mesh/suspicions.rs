//! What daemons know of parts of prompts that may crash upstreams: sent to the zone, and passed on
//! between zones by the relays.

use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Suspicions;

use super::Mesh;
use crate::edge::broker;

/// Maximum number of statements that the relay keeps until its next heartbeat. More are dropped;
/// what is held is stated again.
const MAX_STATEMENTS: usize = 2_000;

/// `Backlog` keeps statements, with the time of their receipt, until the next heartbeat.
#[derive(Debug, Default)]
pub struct Backlog {
    /// Of the relay's own zone, for the other zones.
    outbound: Vec<(Suspicion, Millis)>,
    /// Of the other zones, for the relay's own zone.
    inbound: Vec<(Suspicion, Millis)>,
}

impl Backlog {
    fn add(&mut self, now: Millis, is_own_zone: bool, suspicions: &[Suspicion]) {
        let target = if is_own_zone {
            &mut self.outbound
        } else {
            &mut self.inbound
        };
        let room = MAX_STATEMENTS.saturating_sub(target.len());
        target.extend(suspicions.iter().take(room).map(|one| (one.clone(), now)));
    }
}

/// Takes the statements, each as old as it is now.
fn take(statements: &mut Vec<(Suspicion, Millis)>, now: Millis) -> Vec<Suspicion> {
    let statements = statements.drain(..);
    statements.map(|(one, at)| one.aged(now - at)).collect()
}

impl Mesh {
    /// Sends what this daemon knows to its zone; the relay also passes on what its zone knows to
    /// the other relays, and what those have sent to its zone.
    pub(super) async fn send_suspicions(&mut self, now: Millis, own: &[Suspicion]) {
        let neighbours = self.roster.neighbours(now).collect::<Vec<_>>();
        for part in Suspicions::split(&self.zone, false, own) {
            self.send(&Datagram::Suspicions(part), neighbours.iter().copied())
                .await;
        }
        let mut outbound = take(&mut self.backlog.outbound, now);
        let inbound = take(&mut self.backlog.inbound, now);
        if !self.roster.is_relay(now) {
            return;
        }
        outbound.extend_from_slice(own);
        let relays = self.roster.relays(now);
        for part in Suspicions::split(&self.zone, false, &outbound) {
            self.send(&Datagram::Suspicions(part), relays.iter().copied())
                .await;
        }
        for part in Suspicions::split(&self.zone, true, &inbound) {
            self.send(&Datagram::Suspicions(part), neighbours.iter().copied())
                .await;
        }
    }

    /// Passes statements on to the broker, and keeps them for the relay to pass on.
    pub(super) async fn receive_suspicions(&mut self, now: Millis, suspicions: Suspicions) {
        if self.roster.is_relay(now) && !suspicions.is_forwarded {
            let is_own_zone = suspicions.zone == self.zone;
            self.backlog.add(now, is_own_zone, &suspicions.entries);
        }
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::Heed(suspicions.entries)).await;
    }
}
