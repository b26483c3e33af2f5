//! Upstreams as the registry tells of them.

use serde::Deserialize;
use serde::Serialize;

/// `Phase` says whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// It takes new work.
    Ready,
    /// It finishes what it has and ends.
    Leaving,
}

/// `Instance` is one upstream as registered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// Name, unique at any time.
    pub name: String,
    /// Unix time of its start in milliseconds, by which two instances of one name are told apart.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it serves at.
    pub address: std::net::SocketAddr,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub slots: u64,
    /// Whether it takes new work.
    pub phase: Phase,
    /// Whether its host may be reclaimed.
    pub reclaimable: bool,
}

/// `Change` is one piece of news from the registry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Change {
    /// The upstream is registered like this.
    Put(Box<Instance>),
    /// The entry of the upstream with this name was removed.
    Removed(String),
}
