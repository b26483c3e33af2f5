//! Datagrams of the model, with the sizes that the encoded ones have.

use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;

/// Bytes of a heartbeat of a deployment of sixteen organisations.
const HEARTBEAT_BYTES: u64 = 600;
/// Bytes of a summary of a zone of such a deployment.
const SUMMARY_BYTES: u64 = 250;
/// Bytes of a datagram apart from its list: numbers, and the name of a zone.
const HEADER_BYTES: u64 = 16;
/// Bytes of a sighting.
const SIGHTING_BYTES: u64 = 14;
/// Bytes of a change of the registry.
const CHANGE_BYTES: u64 = 140;
/// Bytes of an address of IP version 4.
const ADDRESS_BYTES: u64 = 8;
/// Bytes of a forwarded datagram apart from the datagram and the addresses.
const FORWARD_BYTES: u64 = 6;

/// `Part` is one part of a set of changes of the registry.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Revision to which the changes apply.
    pub after: Revision,
    /// Revision after them.
    pub revision: Revision,
    /// Number of this part.
    pub number: usize,
    /// Number of parts.
    pub count: usize,
    /// Number of changes in it.
    pub changes: u64,
}

/// `Message` is a datagram.
#[derive(Clone, Debug)]
pub enum Message {
    /// Sent by each daemon to its neighbours.
    Heartbeat {
        /// Index of the sender.
        from: usize,
        /// Number of the heartbeat.
        sequence: u64,
        /// How far the sender has read the registry.
        revision: Revision,
        /// Age of that, if it has read any of it.
        age: Option<Millis>,
    },
    /// Sent by a daemon to its relay: it passes datagrams on.
    Ready(usize),
    /// Sightings that daemons share: the number of the set where the relay forwards them, and how
    /// many these are.
    Sightings(Option<usize>, u64),
    /// Summary of another zone.
    Summary,
    /// Changes of the registry.
    Entries(Part),
    /// A datagram that is passed on to these daemons.
    Forward(Vec<usize>, Box<Self>),
}

impl Message {
    /// Returns the bytes of the encoded datagram.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Heartbeat { .. } => HEARTBEAT_BYTES,
            Self::Ready(_) => 2 + ADDRESS_BYTES,
            Self::Sightings(_, count) => HEADER_BYTES + count * SIGHTING_BYTES,
            Self::Summary => SUMMARY_BYTES,
            Self::Entries(part) => HEADER_BYTES + part.changes * CHANGE_BYTES,
            Self::Forward(to, inner) => {
                FORWARD_BYTES + to.len() as u64 * ADDRESS_BYTES + inner.bytes()
            }
        }
    }
}
