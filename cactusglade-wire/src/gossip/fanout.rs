//! Datagrams that a neighbour of a large zone's relay passes on.

use std::net::SocketAddr;

use bincode::Options;
use serde::Deserialize;
use serde::Serialize;

use super::MAX_DATAGRAM_BYTES;

/// `Fanout` is a message of the fan-out tree of a large zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Fanout {
    /// Stated by a daemon to its zone's relay with each heartbeat: it passes datagrams on. Builds
    /// without a fan-out don't state it.
    Ready(SocketAddr),
    /// Sent by the relay to a forwarding neighbour.
    Forward(Forward),
}

/// `Forward` is a datagram that its receiver handles and passes on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Forward {
    /// Addresses of the daemons to which the datagram is passed on.
    pub to: Vec<SocketAddr>,
    /// The encoded datagram. It is passed on as it is, and is none of a fan-out, so that it is not
    /// passed on again.
    pub datagram: Vec<u8>,
}

/// Longest datagram in bytes that leaves room for a list of thirty addresses of IP version 4, as in
/// a zone of a thousand daemons.
pub const MAX_FORWARDED_BYTES: usize = 1_150;
/// Bytes of a forwarded datagram apart from the datagram and the addresses: the numbers of its two
/// kinds, and two lengths.
const HEADER_BYTES: usize = 8;

impl Forward {
    /// Returns how many of the addresses fit a datagram together with an encoded one.
    #[must_use]
    pub fn capacity(to: &[SocketAddr], datagram: &[u8]) -> usize {
        let mut room = MAX_DATAGRAM_BYTES.saturating_sub(HEADER_BYTES + datagram.len());
        let fitting = to.iter().take_while(|address| {
            let size = bincode::options().serialized_size(*address);
            let size = size.ok().and_then(|size| usize::try_from(size).ok());
            let rest = size.and_then(|size| room.checked_sub(size));
            room = rest.unwrap_or(0);
            rest.is_some()
        });
        fitting.count()
    }
}
