//! The calls between daemons, as a tarpc service.

#![allow(missing_docs)] // The service macro generates items that can't have doc comments.

use std::net::SocketAddr;

use cactusglade_core::row::Handover;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Generation;
use serde::Deserialize;
use serde::Serialize;

/// `Pull` requests the rows that have changed since the last exchange.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Incarnation of the answering daemon that `changes` refers to.
    pub incarnation: u64,
    /// Number of changes that the requester already has.
    pub changes: u64,
    /// Address of the requester, from which a daemon without peers learns of one.
    pub from: Option<SocketAddr>,
}

/// `Batch` is the answer to a pull.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Batch {
    /// Incarnation of the answering daemon.
    pub incarnation: u64,
    /// Number of changes that the requester has after applying the rows.
    pub changes: u64,
    /// Rows that changed.
    pub rows: Vec<(Key, Value)>,
}

/// `Peer` is the service that every daemon offers to the others.
#[tarpc::service]
pub trait Peer {
    /// Returns the rows that the requester does not have yet.
    async fn pull(pull: Pull) -> Batch;
    /// Applies urgent rows.
    async fn push(rows: Vec<(Key, Value)>);
    /// Returns the snapshot of a generation as JSON, if it is the generation in force.
    async fn snapshot(generation: Generation) -> Option<String>;
    /// Stores a chat that its caller may resume here; returns whether it was stored.
    async fn adopt(handover: Handover) -> bool;
    /// Returns a chat that was handed over, if it is stored here.
    async fn handover(id: String) -> Option<Handover>;
}
