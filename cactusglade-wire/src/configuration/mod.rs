//! The operators' configuration as one daemon hands it to another, in JSON.
//!
//! Fields that one side does not know are ignored, so that builds can be mixed during an upgrade.

use cactusglade_core::catalog::Draft;

/// Path under which a daemon serves the configuration that it has in force.
pub const PATH: &str = "/configuration";

/// Error of encoding or decoding a configuration.
pub type Error = serde_json::Error;

/// Result of encoding or decoding a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a configuration.
///
/// # Errors
///
/// Fails where a value has no JSON form.
pub fn encode(draft: &Draft) -> Result<Vec<u8>> {
    serde_json::to_vec(draft)
}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails where the bytes are no configuration.
pub fn decode(bytes: &[u8]) -> Result<Draft> {
    serde_json::from_slice(bytes)
}
