//! What daemons on the platform tell each other, one datagram at a time.
//!
//! All figures are totals since the sender started, so that a lost or repeated datagram changes
//! nothing that the next does not put right. That, and not having to keep connections between all
//! daemons, is why these are datagrams and not calls; see `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bincode::Options;
use cactusglade_core::fleet::Change;
use cactusglade_core::row::Lease;
use serde::Deserialize;
use serde::Serialize;

/// Longest datagram in bytes, short enough to cross any link without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// `Totals` since the sender started, by the number that stands for a name.
pub type Totals = BTreeMap<u32, u64>;

/// `Summary` reports the state of one zone to the other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// The zone.
    pub zone: String,
    /// Address of the daemon that speaks for the zone.
    pub relay: SocketAddr,
    /// Unix time in milliseconds at which that daemon started.
    pub incarnation: u64,
    /// Number of the summary, greater with each one.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Daemons in the zone.
    pub daemons: u64,
    /// Daemons in the zone from which a heartbeat arrived lately.
    #[serde(rename = "heard")]
    pub reachable: u64,
    /// Units of its quota that each organisation has used in the zone.
    #[serde(rename = "spent")]
    pub quota_used: Totals,
    /// Work that each service was sent from the zone, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties, where a daemon of the zone holds it.
    pub lease: Option<Lease>,
}

/// `Heartbeat` reports the state of one daemon to the daemons of its own zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Zone of the sender.
    pub zone: String,
    /// Unix time in milliseconds at which the sender started, which tells a restart.
    pub incarnation: u64,
    /// Number of the heartbeat, greater with each one.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// Units of its quota that each organisation has used at the sender.
    #[serde(rename = "spent")]
    pub quota_used: Totals,
    /// Work that each service was sent, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties, where the sender holds it.
    pub lease: Option<Lease>,
    /// Requests that began lately at the sender, by window and organisation.
    pub counts: BTreeMap<u64, Totals>,
    /// How far the sender has read the registry of upstreams.
    pub registry: Watermark,
    /// Whether the sender's latest calls to the store failed.
    #[serde(rename = "is_cut")]
    pub is_store_unreachable: bool,
    /// A sample of the daemons that the sender knows, with their zones.
    #[serde(rename = "known")]
    pub members: Vec<(SocketAddr, String)>,
}

/// `Watermark` says how far a daemon has read the registry of upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Revision up to which it has read the entries.
    pub revision: u64,
    /// Milliseconds since the store itself last confirmed that revision, where it ever did.
    pub age_ms: Option<u64>,
}

/// `Entries` are changes of the registry as a daemon read them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// Revision that they follow.
    pub after: u64,
    /// Revision that they lead to, once all parts are there.
    pub revision: u64,
    /// Place of this part.
    pub part: usize,
    /// How many parts there are.
    pub parts: usize,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Changes in one part; an entry takes about a hundred bytes.
const CHANGES_PER_PART: usize = 10;

impl Entries {
    /// Splits changes into parts that each fit a datagram.
    #[must_use]
    pub fn split(after: u64, revision: u64, changes: &[Change]) -> Vec<Self> {
        let parts = changes.chunks(CHANGES_PER_PART).enumerate();
        let count = changes.len().div_ceil(CHANGES_PER_PART);
        let parts = parts.map(|(part, changes)| Self {
            after,
            revision,
            part,
            parts: count,
            changes: changes.to_vec(),
        });
        parts.collect()
    }
}

/// `Datagram` is one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// Sent between daemons of one zone, and to a daemon whose zone is not known.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Sent by the relay of another zone, or forwarded by the relay of the own zone.
    #[serde(rename = "Digest")]
    Summary(Summary),
    /// From the daemon that speaks for the own zone.
    Entries(Entries),
}

impl Datagram {
    /// The datagram's bytes, nothing where they would be too many.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = bincode::options().serialize(self).ok()?;
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Reads a datagram; bytes that are none are nobody's fault.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let limit = u64::try_from(MAX_DATAGRAM_BYTES).unwrap_or(u64::MAX);
        bincode::options().with_limit(limit).deserialize(bytes).ok()
    }
}
