//! Faults that an engine stand-in shows on demand.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// `Bad` says in which way a version is bad.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bad {
    /// Share of its requests that fail, from 0 to 1.
    pub fail: f64,
    /// Factor by which its tokens are slower, zero for none.
    pub slow: f64,
    /// Requests that it serves well before it turns bad.
    pub after_requests: u64,
    /// Requests that must run at once for it to be bad.
    pub from_running: u64,
    /// Length of prompts in bytes from which on it is bad.
    pub from_prompt_bytes: u64,
}

/// `Faults` that the engine shows until it is told otherwise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every request with 503 and a proof that nothing ran.
    pub refuse: bool,
    /// Milliseconds that every request waits first.
    pub delay_ms: u64,
    /// Requests that are answered under another attempt's name.
    pub cross: u64,
    /// Requests whose answer ends without its last event.
    pub truncate: u64,
    /// Requests whose every token comes twice.
    pub duplicate: u64,
    /// Requests whose connection is cut in the middle.
    pub die: u64,
    /// Tokens after which such a connection is cut.
    pub die_after: u64,
    /// Bad versions by name.
    pub versions: BTreeMap<String, Bad>,
}
