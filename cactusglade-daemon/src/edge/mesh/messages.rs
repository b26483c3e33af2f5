//! Messages that the mesh handles, and the state that it publishes.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use cactusglade_core::fleet::Change;
use cactusglade_core::revision::Revision;
use cactusglade_core::row::Lease;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::usage::Ledger;
use kameo::Reply;

/// `Progress` is the state of the registry as the zone's relay last reported it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Revision up to which the relay has read the entries; `None` while no other daemon relays the
    /// registry to this one, or its state is too old.
    pub revision: Option<Revision>,
    /// Whether the relay forwards through a fan-out tree, in which many daemons may lack the same
    /// datagram.
    pub is_zone_large: bool,
}

/// `Changeset` reports what this daemon has read of the registry from the store.
#[derive(Clone, Debug)]
pub struct Changeset {
    /// Revision to which the changes apply; `None` if all entries were read.
    pub after: Option<Revision>,
    /// Revision after the changes.
    pub revision: Revision,
    /// Changed entries, in order.
    pub changes: Vec<Change>,
}

/// `Reachability` reports whether this daemon can reach the store.
#[derive(Clone, Copy, Debug)]
pub struct Reachability {
    /// Whether the last write of the zone's ledger to the store failed.
    pub is_store_unreachable: bool,
}

/// `Leadership` sets the lease on the duties that heartbeats carry; `None` while this daemon does
/// not hold it.
#[derive(Clone, Debug)]
pub struct Leadership(pub Option<Lease>);

/// `InForce` states the version of the configuration that is in force at this daemon.
#[derive(Clone, Copy, Debug)]
pub struct InForce(pub u64);

/// `Inspect` requests the [`Fleet`].
#[derive(Clone, Copy, Debug)]
pub struct Inspect;

/// `Fleet` is the state of all daemons as known to the mesh.
#[derive(Clone, Debug, Default, Reply)]
pub struct Fleet {
    /// Work that all daemons have sent to each service, in milliseconds of one upstream's time.
    pub work: Totals,
    /// Lease on the duties held by another daemon, where this one receives its heartbeats.
    pub lease: Option<Lease>,
    /// Request counts of the zone's daemons, where this daemon writes them to the store.
    pub ledger: Option<Ledger>,
    /// Windows in which daemons of the zone have counted requests, and the newest of other zones.
    pub counted: BTreeSet<u64>,
    /// Number of daemons, this one included.
    pub daemons: u64,
    /// Number of daemons that this one reaches, itself included.
    pub reachable: u64,
}

/// `Members` lists the addresses and zones of the daemons that have a row in the store.
#[derive(Clone, Debug)]
pub(super) struct Members(pub Vec<(SocketAddr, String)>);

/// `ReadsMembers` asks whether this daemon is to read the list of daemons again.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadsMembers;
