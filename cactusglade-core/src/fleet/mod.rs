//! Upstreams as they are registered.

use serde::Deserialize;
use serde::Serialize;

/// `Phase` says whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It accepts new requests.
    Ready,
    /// It finishes its open requests and then stops.
    Leaving,
}

/// `Instance` is one upstream as registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name, unique among the upstreams that are registered at one time.
    pub name: String,
    /// Unix time of its start in milliseconds, by which two instances of one name are
    /// distinguished.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// Name of its service.
    pub service: String,
    /// Address at which it serves requests.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it can process at the same time.
    pub slots: u64,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Whether its host may be reclaimed.
    pub reclaimable: bool,
}

/// `Change` is one change of the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The upstream was registered, or its entry has changed.
    Put(Box<Instance>),
    /// The entry of the upstream with this name was removed.
    Removed(String),
}
