//! Membership: which daemons exist, which are reachable, and what they have reported.
//!
//! Daemons of one zone exchange heartbeats directly. The reachable daemon with the least address is
//! the zone's relay: it exchanges summaries with the relays of other zones and forwards these to
//! its own zone, so that the traffic between zones doesn't grow with the number of daemons. See
//! `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::row::Lease;
use cactusglade_core::units::Millis;

use crate::throttle::Layout;

/// Minimum time without a heartbeat after which a daemon counts as unreachable; until then both
/// sides of a partition spend the whole of each quota.
const HEARTBEAT_TIMEOUT: Millis = Millis(500);
/// Additional time for a zone's summary, which passes two relays.
const RELAY_DELAY: Millis = Millis(200);
/// Number of intervals without a heartbeat after which a daemon counts as unreachable, if that is
/// longer.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// Time without a heartbeat after which a daemon is dropped; a partition lasts about ten seconds.
const RETENTION: Millis = Millis(20_000);
/// Sequence number below which a new incarnation counts as just started, so that all its totals
/// are new.
const STARTUP_HEARTBEATS: u64 = 20;
/// Time after a failed access to the store for which a daemon leaves the usage ledger of its zone
/// to others; outages of single daemons last about ten seconds.
const STORE_LOSS_HOLD: Millis = Millis(15_000);
/// Maximum number of daemons of a zone that are contacted while its relay is unknown.
const MAX_RELAY_CANDIDATES: usize = 2;

/// `Totals` maps the hash of a name to a total since the start of a daemon.
pub type Totals = BTreeMap<u32, u64>;

/// `Announcement` is the state that a daemon announces in a heartbeat, or a relay for its zone.
#[derive(Clone, Debug, Default)]
pub struct Announcement {
    /// Incarnation of the daemon that sent it.
    pub incarnation: u64,
    /// Sequence number.
    pub sequence: u64,
    /// Quota units admitted, by organisation.
    pub quota_used: Totals,
    /// Engine time of the requests sent, by service, in milliseconds.
    pub work: Totals,
    /// Lease on the duties, if the daemon or a daemon of the zone holds it.
    pub lease: Option<Lease>,
    /// Whether the daemon recently failed to reach the store.
    pub is_store_unreachable: bool,
}

/// `Zone` is the latest summary of a zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Address of the zone's relay.
    pub relay: SocketAddr,
    /// Number of daemons in the zone.
    pub daemons: u64,
    /// Number of daemons that the relay reaches, itself included.
    pub reachable: u64,
    /// Totals of all daemons in the zone.
    pub announcement: Announcement,
    received: Millis,
}

/// `Consumption` holds the increase of totals since the previous heartbeat.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Consumption {
    /// Quota units admitted, by organisation.
    pub quota_used: Totals,
    /// Engine time of the requests sent, by service, in milliseconds.
    pub work: Totals,
}

#[derive(Debug)]
struct Peer {
    last_heartbeat: Option<Millis>,
    /// When the address was added.
    added: Millis,
    announcement: Announcement,
}

/// `Roster` holds the state of the other daemons.
#[derive(Debug)]
pub struct Roster {
    zone: String,
    own: SocketAddr,
    /// Incarnation of this daemon.
    incarnation: u64,
    /// When this daemon failed to reach the store, unless it has reached it since.
    store_unreachable: Option<Millis>,
    /// Interval between heartbeats.
    interval: Millis,
    /// Daemons of the own zone, and those whose zone is unknown.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Zones of the known daemons.
    members: BTreeMap<SocketAddr, String>,
    zones: BTreeMap<String, Zone>,
    /// Increases reported by daemons of the own zone since this daemon started.
    reported: Consumption,
}

impl Roster {
    /// Creates a roster without other daemons; `interval` is the interval between heartbeats.
    #[must_use]
    pub fn new(zone: &str, own: SocketAddr, incarnation: u64, interval: Millis) -> Self {
        Self {
            zone: zone.to_owned(),
            own,
            incarnation,
            store_unreachable: None,
            interval,
            peers: BTreeMap::new(),
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            reported: Consumption::default(),
        }
    }

    /// Sets the interval between heartbeats.
    pub const fn set_interval(&mut self, interval: Millis) {
        self.interval = interval;
    }

    /// Returns the interval between heartbeats.
    #[must_use]
    pub const fn interval(&self) -> Millis {
        self.interval
    }

    /// Adds the address of a daemon, and its zone if known.
    pub fn add(&mut self, now: Millis, address: SocketAddr, zone: Option<&str>) {
        if address == self.own {
            return;
        }
        if let Some(zone) = zone {
            self.members.insert(address, zone.to_owned());
        }
        if zone.is_some_and(|zone| zone != self.zone) {
            self.peers.remove(&address);
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            last_heartbeat: None,
            added: now,
            announcement: Announcement::default(),
        });
    }

    /// Records a heartbeat of a daemon of the own zone and returns the increase of its totals.
    pub fn record(
        &mut self,
        now: Millis,
        from: SocketAddr,
        announcement: Announcement,
    ) -> Consumption {
        let timeout = self.heartbeat_timeout();
        let Some(peer) = self.peers.get_mut(&from) else {
            return Consumption::default();
        };
        let was_reachable = peer
            .last_heartbeat
            .is_some_and(|last_heartbeat| now - last_heartbeat < timeout);
        let Some(increase) = totals_increase(&peer.announcement, &announcement, was_reachable)
        else {
            return Consumption::default();
        };
        peer.announcement = announcement;
        peer.last_heartbeat = Some(now);
        merge(&mut self.reported.quota_used, &increase.quota_used);
        merge(&mut self.reported.work, &increase.work);
        increase
    }

    /// Records the summary of another zone and returns the increase of its totals.
    pub fn record_zone(&mut self, now: Millis, name: &str, summary: Zone) -> Consumption {
        if name == self.zone {
            return Consumption::default();
        }
        let timeout = self.summary_timeout();
        let previous = self.zones.get(name);
        let was_reachable = previous.is_some_and(|zone| now - zone.received < timeout);
        let last = previous
            .map(|zone| zone.announcement.clone())
            .unwrap_or_default();
        let Some(increase) = totals_increase(&last, &summary.announcement, was_reachable) else {
            return Consumption::default();
        };
        self.members.insert(summary.relay, name.to_owned());
        self.zones.insert(
            name.to_owned(),
            Zone {
                received: now,
                ..summary
            },
        );
        increase
    }

    /// Drops daemons and zones that have been unreachable for long.
    ///
    /// A daemon that reaches no majority is itself partitioned and drops none, so that it doesn't
    /// claim the whole of each quota.
    pub fn expire(&mut self, now: Millis) {
        if self.reachable(now) * 2 > self.count() {
            self.peers
                .retain(|_, peer| now - peer.last_heartbeat.unwrap_or(peer.added) < RETENTION);
            self.zones.retain(|_, zone| now - zone.received < RETENTION);
        }
    }

    /// Returns the number of daemons, this one included, without addresses that never answered.
    #[must_use]
    pub fn count(&self) -> u64 {
        let zones = self.zones.values().map(|zone| zone.daemons);
        self.count_in_zone() + zones.sum::<u64>()
    }

    /// Returns the number of daemons whose addresses and zones are known, this one included.
    #[must_use]
    pub fn listed(&self) -> u64 {
        1 + self.members.len() as u64
    }

    /// Returns the number of reachable daemons, this one included.
    #[must_use]
    pub fn reachable(&self, now: Millis) -> u64 {
        let timeout = self.summary_timeout();
        let zones = self
            .zones
            .values()
            .filter(|zone| now - zone.received < timeout);
        self.reachable_in_zone(now) + zones.map(|zone| zone.reachable).sum::<u64>()
    }

    /// Returns the number of reachable daemons of the own zone, this one included.
    #[must_use]
    pub fn reachable_in_zone(&self, now: Millis) -> u64 {
        1 + self.reachable_peers(now).count() as u64
    }

    /// Returns what this daemon knows of the fleet, by which limits are divided.
    #[must_use]
    pub fn layout(&self, now: Millis) -> Layout {
        let mut layout = Layout::new(self.own, &self.zone);
        let zones = self.zones.iter().map(|(name, zone)| (name, zone.daemons));
        let zones = zones.filter(|(_, daemons)| *daemons > 0);
        layout
            .zones
            .extend(zones.map(|(name, daemons)| (name.clone(), daemons)));
        layout.zones.insert(self.zone.clone(), self.count_in_zone());
        layout.neighbours = self.neighbours(now).collect();
        // Addresses that never answered may be of another zone, or of hosts that are gone.
        let peers = self.peers.iter();
        let heard = peers.filter(|(_, peer)| peer.last_heartbeat.is_some());
        layout.zone_members = heard.map(|(address, _)| *address).collect();
        for zone in self.members.values() {
            match layout.listed.get_mut(zone) {
                Some(count) => *count += 1,
                None => {
                    layout.listed.insert(zone.clone(), 1);
                }
            }
        }
        layout
    }

    /// Returns the number of daemons in the own zone, this one included, without addresses that
    /// never answered.
    fn count_in_zone(&self) -> u64 {
        let peers = self.peers.values();
        1 + peers.filter(|peer| peer.last_heartbeat.is_some()).count() as u64
    }

    /// Returns whether this daemon is the relay of its zone.
    #[must_use]
    pub fn is_relay(&self, now: Millis) -> bool {
        self.relay(now).is_none()
    }

    /// Returns the relay of the own zone, if that is another daemon.
    #[must_use]
    pub fn relay(&self, now: Millis) -> Option<SocketAddr> {
        let lowest = self.reachable_peers(now).map(|(address, _)| *address).min();
        lowest.filter(|address| *address < self.own)
    }

    /// Returns whether this daemon writes the usage ledger of its zone to the store.
    ///
    /// Among the daemons that reach the store it is the one that has run longest, since that one
    /// also holds the counts of daemons that have stopped.
    #[must_use]
    pub fn is_ledger_writer(&self, now: Millis) -> bool {
        let peers = self.reachable_peers(now);
        let peers = peers.map(|(address, peer)| {
            let state = &peer.announcement;
            (state.is_store_unreachable, state.incarnation, *address)
        });
        let own = (self.is_store_unreachable(now), self.incarnation, self.own);
        peers.min().is_none_or(|best| own < best)
    }

    /// Records whether this daemon failed to reach the store.
    pub fn set_store_unreachable(&mut self, now: Millis, is_unreachable: bool) {
        self.store_unreachable = is_unreachable.then_some(now);
    }

    /// Returns whether this daemon recently failed to reach the store.
    #[must_use]
    pub fn is_store_unreachable(&self, now: Millis) -> bool {
        self.store_unreachable
            .is_some_and(|at| now - at < STORE_LOSS_HOLD)
    }

    /// Returns the lease on the duties as last reported by a reachable daemon.
    #[must_use]
    pub fn lease(&self, now: Millis) -> Option<&Lease> {
        let timeout = self.summary_timeout();
        let in_zone = self
            .reachable_peers(now)
            .map(|(_, peer)| &peer.announcement);
        let zones = self
            .zones
            .values()
            .filter(|zone| now - zone.received < timeout);
        let announcements = in_zone.chain(zones.map(|zone| &zone.announcement));
        announcements
            .filter_map(|announcement| announcement.lease.as_ref())
            .max_by_key(|lease| (lease.epoch, lease.renewal))
    }

    /// Returns the number of daemons in the own zone, the reachable number, and the zone's summary.
    ///
    /// `own` and `lease` are those of this daemon.
    #[must_use]
    pub fn summary(
        &self,
        now: Millis,
        own: &Consumption,
        lease: Option<Lease>,
    ) -> (u64, u64, Announcement) {
        let mut totals = self.reported.clone();
        merge(&mut totals.quota_used, &own.quota_used);
        merge(&mut totals.work, &own.work);
        let leases = self.reachable_peers(now);
        let leases = leases.filter_map(|(_, peer)| peer.announcement.lease.clone());
        let lease = leases
            .chain(lease)
            .max_by_key(|lease| (lease.epoch, lease.renewal));
        let summary = Announcement {
            quota_used: totals.quota_used,
            work: totals.work,
            lease,
            ..Announcement::default()
        };
        (self.count_in_zone(), self.reachable_in_zone(now), summary)
    }

    /// Returns the engine time reported by the other daemons of the zone since this one started.
    #[must_use]
    pub const fn work(&self) -> &Totals {
        &self.reported.work
    }

    /// Iterates over the current summaries of the other zones.
    pub fn zones(&self, now: Millis) -> impl Iterator<Item = (&String, &Zone)> {
        let timeout = self.summary_timeout();
        self.zones
            .iter()
            .filter(move |(_, zone)| now - zone.received < timeout)
    }

    /// Iterates over the addresses of the own zone, and those whose zone is unknown.
    pub fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Returns whether this is the address of a daemon of the own zone, or one whose zone is unknown.
    #[must_use]
    pub fn is_peer(&self, address: &SocketAddr) -> bool {
        self.peers.contains_key(address)
    }

    /// Iterates over the addresses of the reachable daemons of the own zone.
    pub fn neighbours(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        self.reachable_peers(now).map(|(address, _)| *address)
    }

    /// Returns the daemons of other zones to which the summary is sent.
    ///
    /// These are the relays, and some daemons of each zone whose relay is unknown.
    #[must_use]
    pub fn relays(&self, now: Millis) -> Vec<SocketAddr> {
        let mut relays = Vec::new();
        let mut candidates: BTreeMap<&String, usize> = BTreeMap::new();
        let timeout = self.summary_timeout();
        for (address, zone) in self.members.iter().filter(|(_, zone)| **zone != self.zone) {
            match self
                .zones
                .get(zone)
                .filter(|zone| now - zone.received < timeout)
            {
                Some(zone) if zone.relay != *address => {}
                Some(_) => relays.push(*address),
                None => {
                    let count = candidates.entry(zone).or_default();
                    if *count < MAX_RELAY_CANDIDATES {
                        *count += 1;
                        relays.push(*address);
                    }
                }
            }
        }
        relays
    }

    /// Iterates over the known daemons with their zones.
    pub fn members(&self) -> impl Iterator<Item = (&SocketAddr, &String)> {
        self.members.iter()
    }

    fn reachable_peers(&self, now: Millis) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        let timeout = self.heartbeat_timeout();
        let is_reachable = move |peer: &Peer| {
            peer.last_heartbeat
                .is_some_and(|last_heartbeat| now - last_heartbeat < timeout)
        };
        self.peers
            .iter()
            .filter(move |(_, peer)| is_reachable(peer))
    }

    /// Returns the time within which a partition from another zone is detected.
    #[must_use]
    pub fn detection_time(&self) -> Millis {
        self.summary_timeout() + self.interval
    }

    fn heartbeat_timeout(&self) -> Millis {
        HEARTBEAT_TIMEOUT.max(Millis(self.interval.0 * MAX_MISSED_HEARTBEATS))
    }

    fn summary_timeout(&self) -> Millis {
        self.heartbeat_timeout() + RELAY_DELAY
    }
}

impl Zone {
    /// Creates a summary; [`Roster::record_zone`] sets the time of receipt.
    #[must_use]
    pub const fn new(
        relay: SocketAddr,
        daemons: u64,
        reachable: u64,
        announcement: Announcement,
    ) -> Self {
        Self {
            relay,
            daemons,
            reachable,
            announcement,
            received: Millis(0),
        }
    }
}

/// Returns the increase of totals from one announcement to the next, or `None` if `after` is not
/// newer.
///
/// The increase during a partition is left out: it was spent from the other side's share.
fn totals_increase(
    before: &Announcement,
    after: &Announcement,
    was_reachable: bool,
) -> Option<Consumption> {
    let is_same = after.incarnation == before.incarnation;
    if is_same && after.sequence <= before.sequence {
        return None;
    }
    if is_same && was_reachable {
        return Some(Consumption {
            quota_used: difference(&before.quota_used, &after.quota_used),
            work: difference(&before.work, &after.work),
        });
    }
    if !is_same && after.sequence < STARTUP_HEARTBEATS {
        return Some(Consumption {
            quota_used: after.quota_used.clone(),
            work: after.work.clone(),
        });
    }
    Some(Consumption::default())
}

fn merge(sum: &mut Totals, totals: &Totals) {
    for (name, total) in totals {
        *sum.entry(*name).or_default() += total;
    }
}

fn difference(before: &Totals, after: &Totals) -> Totals {
    let increase = after.iter().map(|(name, total)| {
        let before = before.get(name).copied().unwrap_or_default();
        (*name, total.saturating_sub(before))
    });
    increase.filter(|(_, count)| *count > 0).collect()
}
