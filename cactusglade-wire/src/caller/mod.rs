//! The messages of callers: chats in the usual streaming format, and errors.

use cactusglade_core::errors::Kind;
use serde::Deserialize;
use serde::Serialize;

/// Error of decoding or encoding a message.
#[derive(Debug, thiserror::Error)]
#[error("request is malformed: {0}")]
pub struct Error(#[from] serde_json::Error);

/// Result of decoding or encoding a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Limit on the tokens of an answer where the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Last event of a stream.
pub const DONE: &str = "data: [DONE]\n\n";

/// `Message` is one turn of a chat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// `Chat` is a request for an answer of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chat {
    /// Messages so far, the oldest first.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Limit on the length of the answer in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
}

const fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

impl Chat {
    /// Decodes a chat.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body is not a chat.
    pub fn try_new(body: &[u8]) -> Result<Self> {
        Ok(serde_json::from_slice(body)?)
    }

    /// Returns the messages as one text, which engines continue.
    #[must_use]
    pub fn prompt(&self) -> String {
        let mut prompt = String::new();
        for message in &self.messages {
            prompt.push_str(&message.role);
            prompt.push_str(": ");
            prompt.push_str(&message.content);
            prompt.push('\n');
        }
        prompt
    }
}

/// `Delta` is the part of an answer in one chunk.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Delta {
    /// Text of the token; absent in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// `Choice` is the only answer in a chunk.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Choice {
    /// Always zero.
    pub index: u64,
    /// Part of the answer in this chunk.
    pub delta: Delta,
    /// `stop` in the last chunk.
    pub finish_reason: Option<String>,
}

/// `Chunk` is one event of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Chunk {
    /// Identifier of the request.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Name of the version.
    pub model: String,
    /// The only choice.
    pub choices: Vec<Choice>,
    /// Index of the token in the whole answer, from zero; absent in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token_index: Option<u64>,
}

/// `Head` has the fields that all chunks of one answer share.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Name of the version.
    pub model: &'a str,
}

impl Head<'_> {
    /// Returns the event for one token.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the event can't be serialised.
    pub fn token(&self, index: u64, text: &str) -> Result<String> {
        let delta = Delta {
            content: Some(text.to_owned()),
        };
        self.event(Some(index), delta, None)
    }

    /// Returns the event that ends a complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the event can't be serialised.
    pub fn stop(&self) -> Result<String> {
        self.event(None, Delta::default(), Some("stop".to_owned()))
    }

    fn event(
        &self,
        token_index: Option<u64>,
        delta: Delta,
        finish_reason: Option<String>,
    ) -> Result<String> {
        let chunk = Chunk {
            id: self.id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            model: self.model.to_owned(),
            choices: vec![Choice {
                index: 0,
                delta,
                finish_reason,
            }],
            token_index,
        };
        Ok(format!("data: {}\n\n", serde_json::to_string(&chunk)?))
    }

    /// Returns the body of an answer that is not streamed.
    #[must_use]
    pub fn body(&self, text: &str, prompt_tokens: u64, answer_tokens: u64) -> String {
        serde_json::json!({
            "id": self.id,
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": answer_tokens,
                "total_tokens": prompt_tokens + answer_tokens,
            },
        })
        .to_string()
    }
}

/// `Failure` is the body of an error answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Failure {
    /// Stable code of the error kind.
    pub code: String,
    /// Description of the error for people.
    pub message: String,
    /// Whether the request ran: `no`, `maybe` or `yes`.
    pub ran: String,
    /// Milliseconds after which to retry, where a retry may help.
    pub retry_after_ms: Option<u64>,
    /// Identifier of the request.
    pub request_id: String,
}

#[derive(Deserialize, Serialize)]
struct Envelope {
    error: Failure,
}

impl Failure {
    /// Makes the failure for an error kind.
    #[must_use]
    pub fn new(kind: Kind, message: &str, request_id: &str) -> Self {
        let answer = kind.answer();
        Self {
            code: answer.code.to_owned(),
            message: message.to_owned(),
            ran: answer.ran.as_str().to_owned(),
            retry_after_ms: answer.retry_after.map(|span| span.0),
            request_id: request_id.to_owned(),
        }
    }

    /// Decodes the body of an error answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body is not one.
    pub fn try_new(body: &[u8]) -> Result<Self> {
        Ok(serde_json::from_slice::<Envelope>(body)?.error)
    }

    /// Returns the failure as the body of an answer.
    #[must_use]
    pub fn body(self) -> String {
        serde_json::to_string(&Envelope { error: self }).unwrap_or_default()
    }

    /// Returns the event that ends a stream with the path at which the caller can resume it.
    #[must_use]
    pub fn moved(resume: &str) -> String {
        let data = serde_json::json!({ "resume": resume });
        format!("event: moved\ndata: {data}\n\n")
    }

    /// Returns the failure as the last event of a stream.
    #[must_use]
    pub fn event(self) -> String {
        format!("event: error\ndata: {}\n\n", self.body())
    }
}
