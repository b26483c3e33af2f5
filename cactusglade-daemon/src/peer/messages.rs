//! Messages to the peer service.

use std::net::SocketAddr;

use cactusglade_core::row::Handover;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_wire::peer::Pull;
use kameo::Reply;

/// `Gossip` passes rows of this daemon; urgent ones are pushed to peers at once.
#[derive(Clone, Debug)]
pub struct Gossip(pub Vec<(Key, Value)>);

/// `Receive` passes rows that a peer pushed.
#[derive(Clone, Debug)]
pub struct Receive(pub Vec<(Key, Value)>);

/// `Changes` requests the rows that changed since a peer's last pull.
#[derive(Clone, Copy, Debug)]
pub struct Changes(pub Pull);

/// `List` requests all rows, for the status report.
#[derive(Clone, Copy, Debug)]
pub struct List;

/// `Listing` holds the rows that a daemon has of all daemons.
#[derive(Clone, Debug, Default, Reply)]
pub struct Listing {
    /// All rows.
    pub rows: Vec<(Key, Value)>,
    /// Names of the daemons with a recent heartbeat, including this one.
    pub alive: Vec<String>,
}

/// `Hosts` passes the peer addresses in the platform's list of hosts.
#[derive(Clone, Debug)]
pub struct Hosts(pub Vec<SocketAddr>);

/// `HandOver` hands a chat over to peers; the reply is the number of peers that stored it.
#[derive(Clone, Debug)]
pub struct HandOver(pub Handover);

/// `Find` requests a chat that was handed over, by its id, from all peers.
#[derive(Clone, Debug)]
pub struct Find(pub String);
