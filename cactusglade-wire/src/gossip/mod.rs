//! The gossip of the daemons on the platform, as datagrams.
//!
//! All figures are totals since the sender started, so that the next datagram corrects the effect
//! of a lost or repeated one. For this reason, and because no connections between all daemons are
//! needed, these are datagrams and not calls; see `docs/PLATFORM.md`.

mod entries;
mod fanout;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bincode::Options;
use cactusglade_core::fleet::Evacuation;
use cactusglade_core::fleet::Limit;
use cactusglade_core::fleet::Pace;
use cactusglade_core::fleet::Prefill;
use cactusglade_core::fleet::Sighting;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::row::Lease;
use serde::Deserialize;
use serde::Serialize;

pub use entries::Entries;
pub use entries::Watermark;
pub use fanout::Fanout;
pub use fanout::Forward;
pub use fanout::MAX_FORWARDED_BYTES;

/// Longest datagram in bytes, short enough to cross any link without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Totals since the sender started, by the number that encodes a name.
pub type Totals = BTreeMap<u32, u64>;

/// `Summary` reports the state of one zone to the other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the zone.
    pub zone: String,
    /// Address of the zone's relay, the daemon that sends its summaries.
    pub relay: SocketAddr,
    /// Unix time in milliseconds at which the relay started.
    pub incarnation: u64,
    /// Number of the summary, greater with each one.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Number of daemons in the zone.
    pub daemons: u64,
    /// Number of daemons in the zone that the relay can reach, itself included.
    #[serde(rename = "heard")]
    pub reachable: u64,
    /// Units of quota used in the zone, by organisation.
    #[serde(rename = "spent")]
    pub quota_used: Totals,
    /// Work sent from the zone in milliseconds of upstream time, by service.
    pub work: Totals,
    /// The lease on the duties, if a daemon of the zone holds it.
    pub lease: Option<Lease>,
}

/// `Heartbeat` reports the state of one daemon to the daemons of its own zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Address of the sender.
    pub from: SocketAddr,
    /// Zone of the sender.
    pub zone: String,
    /// Unix time in milliseconds at which the sender started, by which a restart is detected.
    pub incarnation: u64,
    /// Number of the heartbeat, greater with each one.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Units of quota used at the sender, by organisation.
    #[serde(rename = "spent")]
    pub quota_used: Totals,
    /// Work sent by the sender in milliseconds of upstream time, by service.
    pub work: Totals,
    /// The lease on the duties, if the sender holds it.
    pub lease: Option<Lease>,
    /// Number of requests that started at the sender in the latest windows, by window and
    /// organisation.
    pub counts: BTreeMap<u64, Totals>,
    /// How far the sender has read the registry of upstreams.
    pub registry: Watermark,
    /// Whether the sender's latest calls to the store failed.
    #[serde(rename = "is_cut")]
    pub is_store_unreachable: bool,
    /// Addresses and zones of some of the daemons in the sender's membership.
    #[serde(rename = "known")]
    pub members: Vec<(SocketAddr, String)>,
}

/// `Sightings` is what the daemons of one zone have seen of upstreams since they last reported it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sightings {
    /// Name of the zone.
    pub zone: String,
    /// Whether the relay of another zone forwards them to its own zone.
    pub is_forwarded: bool,
    /// One entry for each upstream.
    pub entries: Vec<Sighting>,
}

/// Sightings in one datagram, each at most twenty bytes long.
const SIGHTINGS_PER_PART: usize = 60;

impl Sightings {
    /// Splits sightings into parts that each fit a datagram.
    #[must_use]
    pub fn split(zone: &str, is_forwarded: bool, entries: &[Sighting]) -> Vec<Self> {
        let parts = entries.chunks(SIGHTINGS_PER_PART).map(|entries| Self {
            zone: zone.to_owned(),
            is_forwarded,
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Suspicions` is what the daemons of one zone know of parts of prompts that may crash upstreams
/// and have not reported yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicions {
    /// Name of the zone.
    pub zone: String,
    /// Whether the relay of another zone forwards them to its own zone.
    pub is_forwarded: bool,
    /// Statements, in the order in which they were made.
    pub entries: Vec<Suspicion>,
}

/// Suspicions in one datagram, each at most two hundred bytes long.
const SUSPICIONS_PER_PART: usize = 6;

impl Suspicions {
    /// Splits statements into parts that each fit a datagram.
    #[must_use]
    pub fn split(zone: &str, is_forwarded: bool, entries: &[Suspicion]) -> Vec<Self> {
        let parts = entries.chunks(SUSPICIONS_PER_PART).map(|entries| Self {
            zone: zone.to_owned(),
            is_forwarded,
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Limits` is what the daemons of one zone know of the limits that upstreams state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Name of the zone.
    pub zone: String,
    /// Whether the relay of another zone forwards them to its own zone.
    pub is_forwarded: bool,
    /// Statements, in the order in which they were made.
    pub entries: Vec<Limit>,
}

/// Limits in one datagram, each at most twenty-four bytes long.
const LIMITS_PER_PART: usize = 50;

impl Limits {
    /// Splits statements into parts that each fit a datagram.
    #[must_use]
    pub fn split(zone: &str, is_forwarded: bool, entries: &[Limit]) -> Vec<Self> {
        let parts = entries.chunks(LIMITS_PER_PART).map(|entries| Self {
            zone: zone.to_owned(),
            is_forwarded,
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Paces` is what the daemons of one zone know of the paces of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Paces {
    /// Name of the zone.
    pub zone: String,
    /// Whether the relay of another zone forwards them to its own zone.
    pub is_forwarded: bool,
    /// Statements, in the order in which they were made.
    pub entries: Vec<Pace>,
}

/// Paces in one datagram, each at most twenty bytes long.
const PACES_PER_PART: usize = 60;

impl Paces {
    /// Splits statements into parts that each fit a datagram.
    #[must_use]
    pub fn split(zone: &str, is_forwarded: bool, entries: &[Pace]) -> Vec<Self> {
        let parts = entries.chunks(PACES_PER_PART).map(|entries| Self {
            zone: zone.to_owned(),
            is_forwarded,
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Prefills` is what the daemons of one zone tell of the long prompts that they have sent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Prefills {
    /// Name of the zone.
    pub zone: String,
    /// Whether the relay of another zone forwards them to its own zone.
    pub is_forwarded: bool,
    /// Statements, in the order in which they were made.
    pub entries: Vec<Prefill>,
}

/// Prefills in one datagram, each at most eighteen bytes long.
const PREFILLS_PER_PART: usize = 60;

impl Prefills {
    /// Splits statements into parts that each fit a datagram.
    #[must_use]
    pub fn split(zone: &str, is_forwarded: bool, entries: &[Prefill]) -> Vec<Self> {
        let parts = entries.chunks(PREFILLS_PER_PART).map(|entries| Self {
            zone: zone.to_owned(),
            is_forwarded,
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Evacuations` is what a daemon knows of the availability zones that are evacuated.
///
/// Daemons that have heard of a change state it themselves, so these are not forwarded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuations {
    /// One entry for each zone.
    pub entries: Vec<Evacuation>,
}

/// Evacuations in one datagram. Names of zones are a few bytes long; each entry has at most a
/// hundred bytes where they have eighty.
const EVACUATIONS_PER_PART: usize = 12;

impl Evacuations {
    /// Splits statements into parts that each fit a datagram.
    #[must_use]
    pub fn split(entries: &[Evacuation]) -> Vec<Self> {
        let parts = entries.chunks(EVACUATIONS_PER_PART).map(|entries| Self {
            entries: entries.to_vec(),
        });
        parts.collect()
    }
}

/// `Version` states the newest configuration that is known to be in force at a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Version {
    /// Version of the configuration.
    pub version: u64,
    /// Address of the daemon that has it in force.
    pub holder: SocketAddr,
    /// Milliseconds since that daemon stated so.
    pub age_ms: u64,
}

/// `Counted` states the newest window in which a zone has counted requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counted {
    /// Name of the zone.
    pub zone: String,
    /// Number of the window.
    pub window: u64,
}

/// `Datagram` is one message between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// Sent between daemons of one zone, and to a daemon whose zone is not known.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Sent by the relay of another zone, or forwarded by the relay of the own zone.
    #[serde(rename = "Digest")]
    Summary(Summary),
    /// Sent in place of [`Self::Entries`] by builds to which upstreams have no cold time. It is not
    /// decoded, so that a daemon reads these entries from the store, with the cold times.
    #[serde(rename = "Entries")]
    Undated,
    /// Sent between daemons of one zone, and between relays.
    Sightings(Sightings),
    /// Sent to the relay of the zone, by which it is passed on to the zone and to other relays.
    Version(Version),
    /// Sent between daemons of one zone, and between relays.
    Suspicions(Suspicions),
    /// Sent between daemons of one zone, and between relays.
    Limits(Limits),
    /// Sent between daemons of one zone, and between relays.
    Paces(Paces),
    /// Sent between daemons of one zone, and between relays.
    Prefills(Prefills),
    /// Sent by the relay of the own zone.
    #[serde(rename = "DatedEntries")]
    Entries(Entries),
    /// Sent between daemons of one zone, and between relays.
    Evacuations(Evacuations),
    /// Sent by the relay of another zone, or forwarded by the relay of the own zone.
    Counted(Counted),
    /// Sent between daemons of one large zone. Builds without this kind drop it.
    Fanout(Fanout),
}

impl Datagram {
    /// Encodes the datagram; returns `None` if it exceeds [`MAX_DATAGRAM_BYTES`].
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = bincode::options().serialize(self).ok()?;
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; returns `None` for other bytes, since any process may send some to the
    /// port.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let limit = u64::try_from(MAX_DATAGRAM_BYTES).unwrap_or(u64::MAX);
        bincode::options().with_limit(limit).deserialize(bytes).ok()
    }
}
