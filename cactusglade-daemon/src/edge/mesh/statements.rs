//! Statements of daemons that are as old as they say: sent to the zone, and passed on between zones by
//! the relays.

use cactusglade_core::fleet::Evacuation;
use cactusglade_core::fleet::Limit;
use cactusglade_core::fleet::Pace;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Evacuations;
use cactusglade_wire::gossip::Limits;
use cactusglade_wire::gossip::Paces;
use cactusglade_wire::gossip::Prefills;
use cactusglade_wire::gossip::Suspicions;

use super::Mesh;
use crate::edge::broker;

/// Maximum number of statements of one type that the relay keeps until its next heartbeat. More are
/// dropped; what still holds is stated again.
const MAX_STATEMENTS: usize = 2_000;

/// `Statement` is something that daemons tell each other, with its age.
pub(super) trait Statement: Clone {
    /// Returns the same statement some time later.
    fn aged(self, span: Millis) -> Self;

    /// Returns whether this statement makes an earlier one needless that the relay has not passed on
    /// yet.
    fn replaces(&self, _earlier: &Self) -> bool {
        false
    }

    /// Encodes statements in datagrams that each fit the size limit.
    fn encode(zone: &str, is_forwarded: bool, statements: &[Self]) -> Vec<Datagram>;

    /// Returns what the relay has still to pass on.
    fn backlog(mesh: &mut Mesh) -> &mut Backlog<Self>;
}

impl Statement for Suspicion {
    fn aged(self, span: Millis) -> Self {
        self.aged(span)
    }

    fn encode(zone: &str, is_forwarded: bool, statements: &[Self]) -> Vec<Datagram> {
        let parts = Suspicions::split(zone, is_forwarded, statements);
        parts.into_iter().map(Datagram::Suspicions).collect()
    }

    fn backlog(mesh: &mut Mesh) -> &mut Backlog<Self> {
        &mut mesh.suspicions
    }
}

impl Statement for Limit {
    fn aged(self, span: Millis) -> Self {
        self.aged(span)
    }

    fn encode(zone: &str, is_forwarded: bool, statements: &[Self]) -> Vec<Datagram> {
        let parts = Limits::split(zone, is_forwarded, statements);
        parts.into_iter().map(Datagram::Limits).collect()
    }

    fn backlog(mesh: &mut Mesh) -> &mut Backlog<Self> {
        &mut mesh.limits
    }
}

impl Statement for Pace {
    fn aged(self, span: Millis) -> Self {
        self.aged(span)
    }

    /// Many daemons see the same change of an upstream's pace within one interval.
    fn replaces(&self, earlier: &Self) -> bool {
        matches!(self, Self::Stated { .. })
            && matches!(earlier, Self::Stated { .. })
            && self.upstream() == earlier.upstream()
    }

    fn encode(zone: &str, is_forwarded: bool, statements: &[Self]) -> Vec<Datagram> {
        let parts = Paces::split(zone, is_forwarded, statements);
        parts.into_iter().map(Datagram::Paces).collect()
    }

    fn backlog(mesh: &mut Mesh) -> &mut Backlog<Self> {
        &mut mesh.paces
    }
}

impl Statement for Prefill {
    fn aged(self, span: Millis) -> Self {
        self.aged(span)
    }

    fn encode(zone: &str, is_forwarded: bool, statements: &[Self]) -> Vec<Datagram> {
        let parts = Prefills::split(zone, is_forwarded, statements);
        parts.into_iter().map(Datagram::Prefills).collect()
    }

    fn backlog(mesh: &mut Mesh) -> &mut Backlog<Self> {
        &mut mesh.prefills
    }
}

/// `Backlog` keeps statements, with the time of their receipt, until the next heartbeat.
#[derive(Debug)]
pub struct Backlog<T> {
    /// Of the relay's own zone, for the other zones.
    outbound: Vec<(T, Millis)>,
    /// Of the other zones, for the relay's own zone.
    inbound: Vec<(T, Millis)>,
}

impl<T> Default for Backlog<T> {
    fn default() -> Self {
        Self {
            outbound: Vec::new(),
            inbound: Vec::new(),
        }
    }
}

impl<T: Statement> Backlog<T> {
    fn add(&mut self, now: Millis, is_own_zone: bool, statements: &[T]) {
        let target = if is_own_zone {
            &mut self.outbound
        } else {
            &mut self.inbound
        };
        target.retain(|(earlier, _)| !statements.iter().any(|one| one.replaces(earlier)));
        let room = MAX_STATEMENTS.saturating_sub(target.len());
        target.extend(statements.iter().take(room).map(|one| (one.clone(), now)));
    }
}

/// Takes the statements, each as old as it is now.
fn take<T: Statement>(statements: &mut Vec<(T, Millis)>, now: Millis) -> Vec<T> {
    let statements = statements.drain(..);
    statements.map(|(one, at)| one.aged(now - at)).collect()
}

impl Mesh {
    /// Sends what this daemon knows to its zone; the relay also passes on what its zone knows to
    /// the other relays, and what those have sent to its zone.
    pub(super) async fn send_statements<T: Statement>(&mut self, now: Millis, own: &[T]) {
        let neighbours = self.roster.neighbours(now).collect::<Vec<_>>();
        for part in T::encode(&self.zone, false, own) {
            self.send(&part, neighbours.iter().copied()).await;
        }
        let backlog = T::backlog(self);
        let mut outbound = take(&mut backlog.outbound, now);
        let inbound = take(&mut backlog.inbound, now);
        if !self.roster.is_relay(now) {
            return;
        }
        outbound.extend_from_slice(own);
        let relays = self.roster.relays(now);
        for part in T::encode(&self.zone, false, &outbound) {
            self.send(&part, relays.iter().copied()).await;
        }
        let parts = T::encode(&self.zone, true, &inbound);
        self.forward(now, &parts).await;
    }

    /// Keeps statements for the relay to pass on.
    fn keep_statements<T: Statement>(
        &mut self,
        now: Millis,
        zone: &str,
        is_forwarded: bool,
        statements: &[T],
    ) {
        if self.roster.is_relay(now) && !is_forwarded {
            let is_own_zone = zone == self.zone;
            T::backlog(self).add(now, is_own_zone, statements);
        }
    }

    /// Passes what others know of parts of prompts on to the broker, and keeps it for the relay.
    pub(super) async fn receive_suspicions(&mut self, now: Millis, received: Suspicions) {
        let Suspicions {
            zone,
            is_forwarded,
            entries,
        } = received;
        self.keep_statements(now, &zone, is_forwarded, &entries);
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::Heed(entries)).await;
    }

    /// Passes what others know of upstreams' limits on to the broker, and keeps it for the relay.
    pub(super) async fn receive_limits(&mut self, now: Millis, received: Limits) {
        let Limits {
            zone,
            is_forwarded,
            entries,
        } = received;
        self.keep_statements(now, &zone, is_forwarded, &entries);
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::Curb(entries)).await;
    }

    /// Passes what others know of upstreams' paces on to the broker, and keeps it for the relay.
    pub(super) async fn receive_paces(&mut self, now: Millis, received: Paces) {
        let Paces {
            zone,
            is_forwarded,
            entries,
        } = received;
        self.keep_statements(now, &zone, is_forwarded, &entries);
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::LearnPaces(entries)).await;
    }

    /// Passes the long prompts that others have sent on to the broker, and keeps them for the relay.
    pub(super) async fn receive_prefills(&mut self, now: Millis, received: Prefills) {
        let Prefills {
            zone,
            is_forwarded,
            entries,
        } = received;
        self.keep_statements(now, &zone, is_forwarded, &entries);
        // Fails only while the daemon stops.
        let _ = self.broker.tell(broker::LearnPrefills(entries)).await;
    }

    /// Sends what this daemon knows of evacuated zones to its zone, and the relay also to the other
    /// relays.
    ///
    /// A daemon that hears of a change states it itself, so that the relay has nothing to pass on
    /// that it doesn't know.
    pub(super) async fn send_evacuations(&self, now: Millis, own: &[Evacuation]) {
        if own.is_empty() {
            return;
        }
        let mut targets = self.roster.neighbours(now).collect::<Vec<_>>();
        if self.roster.is_relay(now) {
            targets.extend(self.roster.relays(now));
        }
        for part in Evacuations::split(own) {
            let part = Datagram::Evacuations(part);
            self.send(&part, targets.iter().copied()).await;
        }
    }

    /// Passes what others know of evacuated zones on to the broker.
    pub(super) async fn receive_evacuations(&mut self, received: Evacuations) {
        let evacuate = broker::Evacuate {
            statements: received.entries,
            origin: broker::Origin::Daemon,
        };
        // Fails only while the daemon stops.
        let _ = self.broker.tell(evacuate).await;
    }
}
