//! What the relay of a zone forwards: sent to each neighbour, or in a large zone through a fan-out
//! tree.

use std::net::SocketAddr;

use cactusglade_core::units::Millis;
use cactusglade_policy::relay::fanout;
use cactusglade_policy::relay::fanout::Branch;
use cactusglade_policy::relay::fanout::Plan;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Fanout;
use cactusglade_wire::gossip::Forward;
use cactusglade_wire::gossip::MAX_DATAGRAM_BYTES;
use cactusglade_wire::gossip::MAX_FORWARDED_BYTES;
use slog::info;

use super::Mesh;

impl Mesh {
    /// Returns whether the zone's relay uses a fan-out tree.
    pub(super) fn is_zone_large(&self, now: Millis) -> bool {
        fanout::is_large(self.roster.reachable_in_zone(now))
    }

    /// Returns the longest datagram that leaves room for the addresses to which it is passed on.
    pub(super) fn max_forwarded_bytes(&self, now: Millis) -> usize {
        if self.is_zone_large(now) {
            MAX_FORWARDED_BYTES
        } else {
            MAX_DATAGRAM_BYTES
        }
    }

    /// Sends datagrams to all neighbours, as the relay of the zone.
    pub(super) async fn forward(&mut self, now: Millis, datagrams: &[Datagram]) {
        if datagrams.is_empty() {
            return;
        }
        let neighbours = self.roster.neighbours(now).collect::<Vec<_>>();
        let interval = self.roster.interval();
        let plan = self
            .planner
            .plan(now, interval, &neighbours, rand::random())
            .clone();
        self.report_plan(&plan);
        for datagram in datagrams {
            let Some(bytes) = self.encode(datagram) else {
                continue;
            };
            for branch in &plan.branches {
                self.send_branch(branch, &bytes).await;
            }
            self.send_bytes(&bytes, plan.direct.iter().copied()).await;
        }
    }

    /// Sends a datagram to a forwarding neighbour, with as many addresses of its list as fit, and to
    /// the rest of the list.
    async fn send_branch(&self, branch: &Branch, bytes: &[u8]) {
        let fitting = Forward::capacity(&branch.list, bytes);
        let (passed_on, rest) = branch.list.split_at(fitting);
        self.send_bytes(bytes, rest.iter().copied()).await;
        if passed_on.is_empty() {
            self.send_bytes(bytes, [branch.forwarder]).await;
            return;
        }
        let forward = Datagram::Fanout(Fanout::Forward(Forward {
            to: passed_on.to_vec(),
            datagram: bytes.to_vec(),
        }));
        self.send(&forward, [branch.forwarder]).await;
    }

    /// Reports the number of forwarding neighbours in the log and in the metrics.
    fn report_plan(&mut self, plan: &Plan) {
        let forwarders = plan.branches.len();
        if forwarders == self.forwarders {
            return;
        }
        info!(self.log, "fanout_changed"; "forwarders" => forwarders,
            "forwarders_before" => self.forwarders, "listed" => plan.listed(),
            "direct" => plan.direct.len());
        self.forwarders = forwarders;
        let gauge = i64::try_from(forwarders).unwrap_or(i64::MAX);
        self.metrics.forwarders.set(gauge);
    }

    /// Notes that this daemon is not the relay, and states to the relay of a large zone and to its
    /// successor that this daemon passes datagrams on.
    pub(super) async fn send_ready(&mut self, now: Millis) {
        if self.roster.is_relay(now) {
            return;
        }
        self.report_plan(&Plan::default());
        if self.is_zone_large(now) {
            let ready = Datagram::Fanout(Fanout::Ready(self.address));
            let relays = fanout::relays(self.address, self.roster.neighbours(now));
            self.send(&ready, relays).await;
        }
    }

    /// Handles a message of the fan-out tree; returns the datagram that it holds for this daemon.
    pub(super) async fn receive_fanout(&mut self, now: Millis, fanout: Fanout) -> Option<Datagram> {
        let forward = match fanout {
            Fanout::Ready(from) => {
                // Any process may send addresses to the port.
                if self.roster.is_peer(&from) {
                    self.planner.record_ready(now, from);
                }
                return None;
            }
            Fanout::Forward(forward) => forward,
        };
        // A kind that only later builds know is passed on too.
        let datagram = Datagram::decode(&forward.datagram);
        if matches!(datagram, Some(Datagram::Fanout(_))) {
            return None;
        }
        if self.guard.passes(now, self.roster.interval()) {
            let to = forward.to.into_iter();
            let to = to.filter(|address| self.roster.is_peer(address));
            let to = to.collect::<Vec<SocketAddr>>();
            self.metrics.passed_on.inc_by(to.len() as u64);
            self.send_bytes(&forward.datagram, to).await;
        }
        datagram
    }
}
