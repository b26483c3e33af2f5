//! What daemons say to each other, as a tarpc service.

#![allow(missing_docs)] // The service macro writes items that cannot carry doc comments.

use std::net::SocketAddr;

use cactusglade_core::row::Handover;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Generation;
use serde::Deserialize;
use serde::Serialize;

/// `Pull` asks for what changed since the last exchange.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Incarnation of the answering daemon that the count belongs to.
    pub incarnation: u64,
    /// Count of changes up to which the asker has everything.
    pub changes: u64,
    /// Address at which the asker can be asked, so that a daemon that knows nobody learns of it.
    pub from: Option<SocketAddr>,
}

/// `Batch` answers a pull.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Incarnation of the answering daemon.
    pub incarnation: u64,
    /// Count of changes that the rows bring the asker up to.
    pub changes: u64,
    /// Rows that changed.
    pub rows: Vec<(Key, Value)>,
}

/// The service that every daemon offers to the others.
#[tarpc::service]
pub trait Peer {
    /// Gives the rows that changed after the asker's count.
    async fn pull(pull: Pull) -> Batch;
    /// Takes urgent rows at once.
    async fn push(rows: Vec<(Key, Value)>);
    /// Gives the snapshot of a generation as JSON, if it is the one in force.
    async fn snapshot(generation: Generation) -> Option<String>;
    /// Keeps a chat that the caller may resume here; says whether it does.
    async fn adopt(handover: Handover) -> bool;
    /// Gives a chat that was handed over, if it is kept here.
    async fn handover(id: String) -> Option<Handover>;
}
