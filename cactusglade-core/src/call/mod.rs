//! The head of a caller's request, independent of its encoding.

use crate::units::Millis;

/// `Part` is a section of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifier of the content; equal sections have equal identifiers.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// `Prompt` describes the input of a model request and the length of its answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Length of the prompt in tokens.
    pub input_tokens: u64,
    /// Limit on the length of the answer in tokens.
    pub max_output_tokens: u64,
    /// Sections of the prompt in order; the last one belongs to this request alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the identifier of the last shared section, which identifies a session.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).map(|part| part.id)
    }

    /// Returns the sections that other requests may share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the identifiers of the shared sections in hexadecimal, for the log.
    #[must_use]
    pub fn shared_ids(&self) -> String {
        let ids = self.shared().iter().map(|part| format!("{:x}", part.id));
        ids.collect::<Vec<_>>().join(",")
    }
}

/// `Call` is the head of a request, one attempt of its caller.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// Identifier of the attempt; answers must echo it.
    pub id: String,
    /// Host name from the request.
    pub host: String,
    /// Path without the query string.
    pub path: String,
    /// API key, where one was sent.
    pub key: Option<String>,
    /// Time for which the caller waits for the answer, from when it sent the request.
    pub timeout: Option<Millis>,
    /// Prompt of a model request, `None` for other services.
    pub prompt: Option<Prompt>,
    /// Number of the last event that the caller has received, where it resumes a stream.
    pub last_event: Option<u64>,
}
