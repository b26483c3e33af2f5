//! Faults that an engine stand-in injects on demand.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// `Bad` describes how a bad version fails, and under which conditions.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bad {
    /// Probability from 0 to 1 that a request fails.
    pub fail: f64,
    /// Factor by which prefill and token intervals grow; values below 1 change nothing.
    pub slow: f64,
    /// Number of requests that the version serves correctly before it turns bad.
    pub after_requests: u64,
    /// Number of requests running on the engine from which on the version is bad.
    pub from_running: u64,
    /// Prompt length in bytes from which on the version is bad.
    pub from_prompt_bytes: u64,
}

/// `Faults` is the set of faults that the engine injects until the next `/control/faults` call.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Refuses every request with 503 and `x-ran: no`, which states that nothing was executed.
    pub refuse: bool,
    /// Delay in milliseconds before the first token of each answer, added to the prefill time.
    pub delay_ms: u64,
    /// Number of requests to answer with a wrong attempt identifier and another prompt's tokens.
    pub cross: u64,
    /// Number of requests whose answer ends without its final `Done` event.
    pub truncate: u64,
    /// Number of requests whose tokens are each sent twice.
    pub duplicate: u64,
    /// Number of requests whose connection is cut during the answer.
    pub die: u64,
    /// Number of tokens sent before the connection of such a request is cut.
    pub die_after: u64,
    /// Bad versions by name.
    pub versions: BTreeMap<String, Bad>,
}
