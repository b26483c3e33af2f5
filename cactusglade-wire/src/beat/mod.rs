//! What daemons on the platform tell each other, one datagram at a time.
//!
//! All figures are totals since the sender started, so that a lost or repeated datagram changes
//! nothing that the next does not put right. That, and not having to keep connections between all
//! daemons, is why these are datagrams and not calls; see `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cactusglade_core::row::Lease;
use serde::Deserialize;
use serde::Serialize;

/// Longest datagram; it passes any link whole.
pub const MAX_BYTES: usize = 1_400;

/// `Beat` is one datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Unix time in milliseconds at which the sender started, which tells a restart.
    pub incarnation: u64,
    /// Number of the datagram.
    pub number: u64,
    /// Some of the daemons that the sender has lately heard of.
    pub known: Vec<SocketAddr>,
    /// Units of its quota that each organisation was let use.
    pub spent: BTreeMap<String, u64>,
    /// Work that each service was sent, in milliseconds of one upstream.
    pub work: BTreeMap<String, u64>,
    /// The lease on the duties, where the sender holds it.
    pub lease: Option<Lease>,
}

impl Beat {
    /// The datagram's bytes, nothing where they would be too many.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = bincode::serialize(self).ok()?;
        (bytes.len() <= MAX_BYTES).then_some(bytes)
    }

    /// Reads a datagram; bytes that are none are nobody's fault.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        bincode::deserialize(bytes).ok()
    }
}
