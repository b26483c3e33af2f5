//! What the peer service is told and asked.

use std::net::SocketAddr;

use cactusglade_core::row::Handover;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_wire::peer::Pull;
use kameo::Reply;

/// `Spread` takes rows of this daemon and sends urgent ones on.
#[derive(Clone, Debug)]
pub struct Spread(pub Vec<(Key, Value)>);

/// `Receive` takes rows that a peer pushed.
#[derive(Clone, Debug)]
pub struct Receive(pub Vec<(Key, Value)>);

/// `Answer` gives a peer what it has not seen.
#[derive(Clone, Copy, Debug)]
pub struct Answer(pub Pull);

/// `List` asks for all rows, for status.
#[derive(Clone, Copy, Debug)]
pub struct List;

/// `Listing` is what a daemon knows of all.
#[derive(Clone, Debug, Default, Reply)]
pub struct Listing {
    /// All rows.
    pub rows: Vec<(Key, Value)>,
    /// Names of the daemons heard of lately, this one included.
    pub alive: Vec<String>,
}

/// `Hosts` gives peer addresses from the platform's list.
#[derive(Clone, Debug)]
pub struct Hosts(pub Vec<SocketAddr>);

/// `HandOver` gives a chat to peers; the reply says how many keep it.
#[derive(Clone, Debug)]
pub struct HandOver(pub Handover);

/// `Find` asks the peers for a chat that was handed over.
#[derive(Clone, Debug)]
pub struct Find(pub String);
