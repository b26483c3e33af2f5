//! Summaries of zones, which their relays exchange and forward within their zones.

use std::collections::BTreeSet;

use cactusglade_core::units::Millis;
use cactusglade_policy::roster::Announcement;
use cactusglade_policy::roster::Consumption;
use cactusglade_policy::roster::Zone;
use cactusglade_wire::gossip::Counted;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Summary;

use super::Mesh;

impl Mesh {
    /// Records a summary of another zone; returns what was added to the totals of that zone.
    pub(super) fn receive_summary(&mut self, now: Millis, summary: Summary) -> Consumption {
        let announcement = Announcement {
            incarnation: summary.incarnation,
            sequence: summary.sequence,
            quota_used: summary.quota_used,
            work: summary.work,
            lease: summary.lease,
            is_store_unreachable: false,
        };
        let zone = Zone::new(
            summary.relay,
            summary.daemons,
            summary.reachable,
            announcement,
        );
        self.roster.record_zone(now, &summary.zone, zone)
    }

    /// Sends the zone's summary to the other zones, and forwards their summaries within the zone.
    pub(super) async fn send_summaries(&mut self, now: Millis) {
        let lease = self.lease.clone();
        let (daemons, reachable, announcement) = self.roster.summary(now, &self.own_totals, lease);
        let summary = Datagram::Summary(Summary {
            zone: self.zone.clone(),
            relay: self.address,
            incarnation: self.incarnation,
            sequence: self.sequence,
            daemons,
            reachable,
            quota_used: announcement.quota_used,
            work: announcement.work,
            lease: announcement.lease,
        });
        self.send(&summary, self.roster.relays(now)).await;
        let summaries = self.roster.zones(now).map(|(name, zone)| {
            Datagram::Summary(Summary {
                zone: name.clone(),
                relay: zone.relay,
                incarnation: zone.announcement.incarnation,
                sequence: zone.announcement.sequence,
                daemons: zone.daemons,
                reachable: zone.reachable,
                quota_used: zone.announcement.quota_used.clone(),
                work: zone.announcement.work.clone(),
                lease: zone.announcement.lease.clone(),
            })
        });
        let summaries = summaries.collect::<Vec<_>>();
        self.forward(now, &summaries).await;
    }

    /// Returns the windows in which daemons of the zone have counted requests, and the newest one of
    /// each other zone.
    pub(super) fn counted(&self) -> BTreeSet<u64> {
        let own = self.ledger.windows().keys().copied();
        let others = self.frontier.zones().map(|(_, window)| window);
        own.chain(others).collect()
    }

    /// Records the newest window of another zone.
    pub(super) fn receive_counted(&mut self, counted: &Counted) {
        if counted.zone != self.zone {
            self.frontier.record(&counted.zone, counted.window);
        }
    }

    /// Sends the newest window of the zone to the other zones, and forwards theirs within the zone.
    pub(super) async fn send_counted(&mut self, now: Millis) {
        let statement = |zone: &str, window| {
            Datagram::Counted(Counted {
                zone: zone.to_owned(),
                window,
            })
        };
        if let Some(newest) = self.ledger.windows().keys().next_back() {
            let own = statement(&self.zone, *newest);
            self.send(&own, self.roster.relays(now)).await;
        }
        let zones = self.frontier.zones();
        let counted = zones.map(|(zone, window)| statement(zone, window));
        let counted = counted.collect::<Vec<_>>();
        self.forward(now, &counted).await;
    }
}
