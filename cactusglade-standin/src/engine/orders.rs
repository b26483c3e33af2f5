//! Orders to an engine, with fencing numbers that it checks or ignores.

use serde::Deserialize;
use serde::Serialize;

/// `Order` tells an engine to load or unload a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fence: u64,
    /// Name of the version.
    pub version: String,
    /// Whether the version is to be loaded.
    pub loaded: bool,
}

/// `Outcome` of an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether the order was carried out.
    pub accepted: bool,
    /// Greatest fencing number seen.
    pub fence: u64,
    /// Versions that are loaded now.
    pub versions: Vec<String>,
}
