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

/// Longest datagram; it passes any link whole.
pub const MAX_BYTES: usize = 1_400;

/// `Totals` since the sender started, by the number that stands for a name.
pub type Totals = BTreeMap<u32, u64>;

/// `Digest` is what one zone tells the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The zone.
    pub zone: String,
    /// Address of the daemon that speaks for the zone.
    pub relay: SocketAddr,
    /// Unix time in milliseconds at which that daemon started.
    pub incarnation: u64,
    /// Number of the digest.
    pub number: u64,
    /// Daemons in the zone.
    pub daemons: u64,
    /// Those of them that hear each other.
    pub heard: u64,
    /// Units of its quota that each organisation was let use in the zone.
    pub spent: Totals,
    /// Work that each service was sent from the zone, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties, where a daemon of the zone holds it.
    pub lease: Option<Lease>,
}

/// `Beat` is what a daemon tells those of its own zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Zone of the sender.
    pub zone: String,
    /// Unix time in milliseconds at which the sender started, which tells a restart.
    pub incarnation: u64,
    /// Number of the beat.
    pub number: u64,
    /// Units of its quota that each organisation was let use.
    pub spent: Totals,
    /// Work that each service was sent, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties, where the sender holds it.
    pub lease: Option<Lease>,
    /// Requests that began lately at the sender, by window and organisation.
    pub counts: BTreeMap<u64, Totals>,
    /// How the sender knows the registry.
    pub registry: Registry,
    /// Whether the sender could not reach the store lately.
    pub is_cut: bool,
    /// Some daemons that the sender knows, with their zones.
    pub known: Vec<(SocketAddr, String)>,
}

/// `Registry` says how a daemon knows the registry of upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registry {
    /// Revision up to which it knows the entries.
    pub revision: u64,
    /// Milliseconds since the store last told it so itself, where it ever did.
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
const PART: usize = 10;

impl Entries {
    /// Cuts changes into parts that each fit a datagram.
    #[must_use]
    pub fn cut(after: u64, revision: u64, changes: &[Change]) -> Vec<Self> {
        let parts = changes.chunks(PART).enumerate();
        let count = changes.len().div_ceil(PART);
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
    /// From a daemon of the same zone, or to one whose zone is not known.
    Beat(Beat),
    /// From the daemon that speaks for another zone, or passed on by the one of the own zone.
    Digest(Digest),
    /// From the daemon that speaks for the own zone.
    Entries(Entries),
}

impl Datagram {
    /// The datagram's bytes, nothing where they would be too many.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = bincode::options().serialize(self).ok()?;
        (bytes.len() <= MAX_BYTES).then_some(bytes)
    }

    /// Reads a datagram; bytes that are none are nobody's fault.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let limit = u64::try_from(MAX_BYTES).unwrap_or(u64::MAX);
        bincode::options().with_limit(limit).deserialize(bytes).ok()
    }
}
