//! What daemons on the platform tell each other, one datagram at a time.
//!
//! All figures are totals since the sender started, so that a lost or repeated datagram changes
//! nothing that the next does not put right. That, and not having to keep connections between all
//! daemons, is why these are datagrams and not calls; see `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bincode::Options;
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
    /// Some daemons that the sender knows, with their zones.
    pub known: Vec<(SocketAddr, String)>,
}

/// `Datagram` is one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Datagram {
    /// From a daemon of the same zone, or to one whose zone is not known.
    Beat(Beat),
    /// From the daemon that speaks for another zone, or passed on by the one of the own zone.
    Digest(Digest),
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
