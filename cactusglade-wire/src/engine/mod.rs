//! The dialect of model engines: one JSON request, an answer of one JSON event a line.

use serde::Deserialize;
use serde::Serialize;

/// Error of the dialect.
#[derive(Debug, thiserror::Error)]
#[error("engine event is malformed: {0}")]
pub struct Error(#[from] serde_json::Error);

/// Result of the dialect.
pub type Result<T> = std::result::Result<T, Error>;

/// Path to which a request for tokens is posted.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path from which the load is read.
pub const LOAD_PATH: &str = "/v1/load";
/// Longest line of an answer in bytes.
pub const MAX_LINE_BYTES: usize = 64 << 10;

/// `Request` asks an engine for the tokens of an answer from a place on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Request {
    /// Names the attempt.
    pub attempt: String,
    /// Name of the version.
    pub version: String,
    /// Prompt as text.
    pub prompt: String,
    /// Tokens that the caller already has; the engine goes on after them.
    #[serde(default)]
    pub emitted: Vec<String>,
    /// Most tokens of the whole answer.
    pub max_tokens: u64,
    /// Zero for interactive work, greater for what may wait.
    #[serde(default)]
    pub priority: u8,
}

/// `Event` is one line of an answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// One token.
    Token {
        /// Names the attempt.
        attempt: String,
        /// Number of the token over the whole answer, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Names the attempt.
        attempt: String,
        /// Tokens of the whole answer, those before this attempt included.
        total: u64,
        /// Tokens of the prompt.
        prompt_tokens: u64,
        /// Tokens of prompt and answer that were not in the cache.
        computed_tokens: u64,
    },
    /// The engine gave up.
    Failed {
        /// Names the attempt.
        attempt: String,
        /// Why.
        reason: String,
    },
}

impl Event {
    /// The attempt that the event belongs to.
    #[must_use]
    pub fn attempt(&self) -> &str {
        match self {
            Self::Token { attempt, .. }
            | Self::Done { attempt, .. }
            | Self::Failed { attempt, .. } => attempt,
        }
    }
}

/// `Load` is an engine's report on itself.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests that it works on.
    pub running: u64,
    /// Requests that wait in it.
    pub waiting: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Writes a request as JSON.
///
/// # Errors
///
/// Fails only where the serialiser does.
pub fn encode(request: &Request) -> Result<Vec<u8>> {
    Ok(serde_json::to_vec(request)?)
}

/// Reads one line of an answer.
///
/// # Errors
///
/// Returns [`Error`] when the line is no event.
pub fn decode(line: &str) -> Result<Event> {
    Ok(serde_json::from_str(line)?)
}
