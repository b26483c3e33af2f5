//! What the configuration service is told and asked.

use cactusglade_core::row::Head;
use cactusglade_core::units::Generation;
use kameo::actor::Recipient;

use crate::peer::messages::Spread;

/// `Announce` says that a head was seen, and where its snapshot may be had beside the platform.
#[derive(Clone, Debug)]
pub struct Announce {
    /// The head.
    pub head: Head,
    /// Whether the platform's own table said so.
    pub from_store: bool,
    /// Peer addresses of daemons that may have the snapshot.
    pub peers: Vec<String>,
}

/// `Introduce` says who spreads rows; that service starts later.
#[derive(Clone, Debug)]
pub struct Introduce(pub Recipient<Spread>);

/// `Snapshot` asks for the snapshot of a generation.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot(pub Generation);

/// `Joined` says that the peers have said what they know, or that none answers.
#[derive(Clone, Copy, Debug)]
pub struct Joined;
