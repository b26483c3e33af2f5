//! Messages to the configuration service.

use cactusglade_core::row::Head;
use cactusglade_core::units::Generation;
use kameo::actor::Recipient;

use crate::peer::messages::Gossip;

/// `Announce` reports a head, with the peers that may have its snapshot.
#[derive(Clone, Debug)]
pub struct Announce {
    /// The head.
    pub head: Head,
    /// Whether the head was read from the platform's table rather than received from a peer.
    pub from_store: bool,
    /// Peer addresses of daemons that may have the snapshot.
    pub peers: Vec<String>,
}

/// `Subscribe` passes the recipient of rows for the peers: the peer service, which starts later.
#[derive(Clone, Debug)]
pub struct Subscribe(pub Recipient<Gossip>);

/// `Snapshot` requests the snapshot of a generation; the reply is `None` unless it is active.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot(pub Generation);

/// `Joined` reports that the first exchange with a peer has succeeded, or that none did in time.
#[derive(Clone, Copy, Debug)]
pub struct Joined;
