//! What the mesh is told and asked, and what it shows.

use std::net::SocketAddr;

use cactusglade_core::fleet::Change;
use cactusglade_core::row::Lease;
use cactusglade_policy::roster::Totals;
use cactusglade_policy::usage::Ledger;
use kameo::Reply;

/// `Hearsay` is how another daemon of the zone knows the registry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Hearsay {
    /// Revision up to which it knows the entries; nothing where no daemon reads them for this one.
    pub revision: Option<u64>,
}

/// `Told` says that the store has told this daemon of the registry.
#[derive(Clone, Debug)]
pub struct Told {
    /// Revision that the changes follow.
    pub after: u64,
    /// Revision that they lead to.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// `Reach` says whether this daemon could store the ledger of its zone.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Whether it could not.
    pub is_cut: bool,
}

/// `Hold` passes on the lease on the duties while this daemon holds it.
#[derive(Clone, Debug)]
pub struct Hold(pub Option<Lease>);

/// `Look` asks how the fleet stands.
#[derive(Clone, Copy, Debug)]
pub struct Look;

/// `Fleet` is what the mesh knows of all daemons.
#[derive(Clone, Debug, Default, Reply)]
pub struct Fleet {
    /// Work that all daemons sent to each service, in milliseconds of one upstream.
    pub work: Totals,
    /// The lease on the duties as another daemon holds it that is heard.
    pub lease: Option<Lease>,
    /// What the daemons of the zone have counted, where this one keeps their ledger.
    pub ledger: Option<Ledger>,
}

/// `Members` tells of daemons that the store names.
#[derive(Clone, Debug)]
pub(super) struct Members(pub Vec<(SocketAddr, String)>);
