//! The protocol of model engines: one JSON request, answered with one JSON event a line.

use serde::Deserialize;
use serde::Serialize;

/// Error of decoding or encoding a message.
#[derive(Debug, thiserror::Error)]
#[error("engine event is malformed: {0}")]
pub struct Error(#[from] serde_json::Error);

/// Result of decoding or encoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Path to which a request for an answer is posted.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path from which the load is read.
pub const LOAD_PATH: &str = "/v1/load";
/// Longest line of an answer in bytes.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// `Request` starts an answer of an engine, or continues one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Identifier of the attempt.
    pub attempt: String,
    /// Name of the version.
    pub version: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Tokens that the caller already has; the engine continues after them.
    #[serde(default)]
    pub emitted: Vec<String>,
    /// Limit on the length of the whole answer in tokens.
    pub max_tokens: u64,
    /// Priority: zero for interactive requests, greater for requests that may wait.
    #[serde(default)]
    pub priority: u8,
}

/// `Event` is one line of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// One token.
    Token {
        /// Identifier of the attempt.
        attempt: String,
        /// Index of the token in the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Identifier of the attempt.
        attempt: String,
        /// Tokens of the whole answer, including those before this attempt.
        total: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of prompt and answer that were not in the cache.
        computed_tokens: u64,
    },
    /// The engine failed.
    Failed {
        /// Identifier of the attempt.
        attempt: String,
        /// Reason for the failure.
        reason: String,
    },
}

impl Event {
    /// Returns the identifier of the attempt that the event belongs to.
    #[must_use]
    pub fn attempt(&self) -> &str {
        match self {
            Self::Token { attempt, .. }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. } => attempt,
        }
    }
}

/// `Load` is a report of an engine on its load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests that the engine is processing.
    pub running: u64,
    /// Requests that are waiting in the engine.
    pub waiting: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Encodes a request as JSON.
///
/// # Errors
///
/// Returns [`Error`] if the request can't be serialised.
pub fn encode(request: &Request) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(request)?)
}

/// Decodes one line of an answer.
///
/// # Errors
///
/// Returns [`Error`] if the line is not an event.
pub fn decode(line: &str) -> Result<Event> {
    Ok(serde_json::from_str(line)?)
}
