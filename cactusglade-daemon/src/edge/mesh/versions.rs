//! Versions of the configuration in force: each daemon states its own to the zone's relay, and the
//! relays pass the newest one on.

use std::net::SocketAddr;

use cactusglade_core::units::Millis;
use cactusglade_policy::lag::Notice;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Version;
use kameo::message::Context;
use kameo::message::Message;

use super::InForce;
use super::Mesh;

impl Message<InForce> for Mesh {
    type Reply = ();

    async fn handle(&mut self, in_force: InForce, _: &mut Context<Self, ()>) {
        self.in_force = in_force.0;
        self.send_version(self.clock.now()).await;
    }
}

impl Mesh {
    /// Sends the newest known version as the relay, or else this daemon's own to the relay.
    pub(super) async fn send_version(&self, now: Millis) {
        let own = Notice {
            version: self.in_force,
            holder: self.address,
            stated: now,
        };
        if !self.roster.is_relay(now) {
            let relay = self.roster.relay(now);
            let neighbours = self.roster.neighbours(now);
            let to = neighbours.filter(|one| relay.is_none_or(|relay| relay == *one));
            self.send_notice(now, own, to).await;
            return;
        }
        let known = self.newest.filter(|known| known.is_fresh(now));
        let newest = known
            .filter(|known| known.version > own.version)
            .unwrap_or(own);
        self.send_notice(now, newest, self.roster.neighbours(now))
            .await;
        self.send_notice(now, newest, self.roster.relays(now)).await;
    }

    async fn send_notice(
        &self,
        now: Millis,
        notice: Notice,
        to: impl IntoIterator<Item = SocketAddr>,
    ) {
        // A daemon that has no configuration yet states none.
        if notice.version == 0 {
            return;
        }
        let version = Version {
            version: notice.version,
            holder: notice.holder,
            age_ms: (now - notice.stated).0,
        };
        self.send(&Datagram::Version(version), to).await;
    }

    /// Keeps the newest version that other daemons state; the relay passes on one that it did not
    /// know.
    pub(super) async fn receive_version(&mut self, now: Millis, version: Version) {
        let notice = Notice {
            version: version.version,
            holder: version.holder,
            stated: now - Millis(version.age_ms),
        };
        if notice.holder == self.address || !notice.supersedes(self.newest.as_ref(), now) {
            return;
        }
        let is_new = self
            .newest
            .is_none_or(|known| notice.version > known.version);
        self.newest = Some(notice);
        if notice.version > self.in_force {
            self.notices.send_replace(Some(notice));
        }
        if is_new && notice.version > self.in_force && self.roster.is_relay(now) {
            self.send_version(now).await;
        }
    }
}
