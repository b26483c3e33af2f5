//! One daemon of the zone: its membership, what it knows of the registry, and its link.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;
use cactusglade_policy::relay::Progress;
use cactusglade_policy::relay::fanout::Guard;
use cactusglade_policy::relay::fanout::Planner;
use cactusglade_policy::roster::Roster;

use super::HEARTBEAT_INTERVAL;
use super::message::Part;

const ZONE: &str = "zone";

/// `Daemon` is the state of one daemon.
pub struct Daemon {
    /// Whether its build knows the fan-out.
    pub is_modern: bool,
    /// Whether its process has ended.
    pub has_ended: bool,
    /// Until when the host is suspended, in microseconds.
    pub suspended_until: u64,
    /// Number of heartbeats.
    pub sequence: u64,
    /// Other daemons.
    pub roster: Roster,
    /// Ways of what it forwards as the relay.
    pub planner: Planner,
    /// Whether it passes datagrams on.
    pub guard: Guard,
    /// How far it has read the registry from the store.
    pub progress: Progress,
    /// Revision up to which it knows the registry.
    pub known: Revision,
    /// Revision that the relay announces.
    pub announced: Revision,
    /// Forwarded parts that it has not looked at yet.
    pub inbox: Vec<Part>,
    /// Parts of a set of changes that is not complete.
    pub parts: BTreeMap<usize, Part>,
    /// Until when it applies changes, in microseconds.
    pub busy_until: u64,
    /// When it reads the store because forwarded parts are missing, in microseconds.
    pub due: Option<u64>,
    /// When its link has sent what waits for it, in microseconds.
    pub link_free: u64,
    /// What it has received and sent.
    pub record: Record,
}

/// `Record` is what a daemon has received and sent.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// Sets of sightings of the other zones, by number.
    pub sightings: BTreeSet<usize>,
    /// Greatest age of one at its arrival, in microseconds.
    pub oldest: u64,
    /// When the last summary of another zone arrived, in microseconds.
    pub summary: u64,
    /// Longest time without one.
    pub longest_gap: u64,
    /// Longest time from a change of the registry until it was in force.
    pub latest_change: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes of these sent as the relay's forwarding, or passed on for it.
    pub forwarded_bytes: u64,
    /// Bytes of the daemon's own heartbeats.
    pub heartbeat_bytes: u64,
    /// Greatest number of bytes forwarded or passed on in a second.
    pub peak_bytes: u64,
    /// The second that is counted, and the bytes forwarded in it.
    pub second: (u64, u64),
    /// Reads of the store.
    pub reads: u64,
    /// Datagrams that did not fit the queue of the link.
    pub dropped: u64,
}

/// Returns the address of a daemon.
#[allow(clippy::cast_possible_truncation)]
pub fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 7_600).into()
}

/// Returns the index of the daemon with an address.
pub fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => 0,
    }
}

impl Daemon {
    /// Creates a daemon that has read the list of daemons.
    pub fn new(index: usize, count: usize, is_modern: bool) -> Self {
        let mut roster = Roster::new(ZONE, address(index), 1, HEARTBEAT_INTERVAL);
        for other in 0..count {
            roster.add(Millis(0), address(other), Some(ZONE));
        }
        Self {
            is_modern,
            has_ended: false,
            suspended_until: 0,
            sequence: 0,
            roster,
            planner: Planner::default(),
            guard: Guard::default(),
            progress: Progress::default(),
            known: Revision::default(),
            announced: Revision::default(),
            inbox: Vec::new(),
            parts: BTreeMap::new(),
            busy_until: 0,
            due: None,
            link_free: 0,
            record: Record::default(),
        }
    }

    /// Takes the parts that have arrived; returns the revision that a complete set leads to.
    pub fn reassemble(&mut self) -> Option<Revision> {
        while !self.inbox.is_empty() {
            let part = self.inbox.remove(0);
            if part.after > self.known || part.revision <= self.known {
                continue;
            }
            let current = self.parts.values().next();
            if current.is_none_or(|current| current.revision != part.revision) {
                self.parts.clear();
            }
            self.parts.insert(part.number, part);
            if self.parts.len() == part.count {
                self.parts.clear();
                return Some(part.revision);
            }
        }
        None
    }
}

impl Record {
    /// Counts bytes that were sent for the relay's forwarding.
    pub fn count_forwarded(&mut self, now: u64, bytes: u64) {
        self.forwarded_bytes += bytes;
        let second = now / 1_000_000;
        let counted = if self.second.0 == second {
            self.second.1 + bytes
        } else {
            bytes
        };
        self.second = (second, counted);
        self.peak_bytes = self.peak_bytes.max(counted);
    }
}
