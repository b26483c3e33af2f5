//! A caller's request as decisions see it, free of its encoding.

use crate::units::Millis;

/// `Part` is a piece of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identity of the piece; equal pieces have equal numbers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// `Prompt` is what a request asks a model to read and write.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub input_tokens: u64,
    /// Limit on the length of the answer in tokens.
    pub max_output_tokens: u64,
    /// Pieces of the prompt in order, the request's own last.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Identity of the last piece that other requests share, by which a session is known.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id)
    }
}

/// `Call` is the head of one attempt of a caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// Names the attempt; answers must echo it.
    pub id: String,
    /// Host that the caller addresses.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key, where one was sent.
    pub key: Option<String>,
    /// Time for which the caller waits for the answer, from when it sent the request.
    pub timeout: Option<Millis>,
    /// The prompt of a model request.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has of a stream it resumes.
    pub last_event: Option<u64>,
}
