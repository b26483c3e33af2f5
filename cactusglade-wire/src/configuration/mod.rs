//! The operators' configuration as one daemon hands it to another, in JSON.
//!
//! Builds can be mixed during an upgrade. Fields that the receiver does not know are ignored. A
//! configuration that lacks fields which the receiver knows is refused: the sender is of an earlier
//! build and has dropped what the operators may have set, such as allowed regions.

use cactusglade_core::catalog::Draft;
use serde::Deserialize;
use serde_json::Value;

/// Path under which a daemon serves the configuration that it has in force.
pub const PATH: &str = "/configuration";

/// Error of encoding or decoding a configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is no configuration.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The sender does not know a field.
    #[error("lacks the field {0}, which the sender's build does not know")]
    Partial(String),
}

/// Result of encoding or decoding a configuration.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes a configuration.
///
/// # Errors
///
/// Fails where a value has no JSON form.
pub fn encode(draft: &Draft) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(draft)?)
}

/// Decodes a configuration.
///
/// # Errors
///
/// Fails where the bytes are no configuration, or one that lacks fields.
pub fn decode(bytes: &[u8]) -> Result<Draft> {
    let given = serde_json::from_slice::<Value>(bytes)?;
    let draft = Draft::deserialize(&given)?;
    match missing(&serde_json::to_value(&draft)?, &given) {
        Some(field) => Err(Error::Partial(field.to_owned())),
        None => Ok(draft),
    }
}

/// Returns a field of a decoded configuration that was not given, but filled in with its default.
fn missing<'a>(decoded: &'a Value, given: &Value) -> Option<&'a str> {
    match (decoded, given) {
        (Value::Object(decoded), Value::Object(given)) => {
            decoded
                .iter()
                .find_map(|(name, value)| match given.get(name) {
                    Some(given) => missing(value, given),
                    None => Some(name.as_str()),
                })
        }
        (Value::Array(decoded), Value::Array(given)) => {
            let mut pairs = decoded.iter().zip(given);
            pairs.find_map(|(decoded, given)| missing(decoded, given))
        }
        _ => None,
    }
}
