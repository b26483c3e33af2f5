//! Orders to an engine, with fencing tokens that it checks or ignores.

use serde::Deserialize;
use serde::Serialize;

/// `Order` tells an engine to load or unload a version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    /// Fencing token of the lease under which the order is issued.
    pub fence: u64,
    /// Name of the version.
    pub version: String,
    /// Whether to load the version (`true`) or to unload it (`false`).
    pub loaded: bool,
}

/// `Outcome` is the engine's answer to an order.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Outcome {
    /// Whether the order was executed.
    pub accepted: bool,
    /// Greatest fencing token seen so far, this order's included.
    pub fence: u64,
    /// Names of the versions that are loaded after the order.
    pub versions: Vec<String>,
}
