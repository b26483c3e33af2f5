//! The objects that operators publish, as written in files and stored in snapshots.
//!
//! References are names here; [`set`](crate::set) resolves them. `docs/INTERFACES.md` lists every
//! field with its unit and default.

mod read;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::units::Millis;

pub use read::Source;
pub use read::read;

/// `Class` says which requests wait first when the daemon is overloaded.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller is waiting for the answer.
    Interactive,
    /// The request may be delayed, but must finish.
    Deferrable,
}

/// `Tenure` says whether the cloud may reclaim a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tenure {
    /// The host can be reclaimed with a notice of seconds.
    Reclaimable,
    /// The host stays until it is released.
    OnDemand,
}

/// `Fencing` says how an upstream handles an operation with an outdated fencing token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses the operation.
    Checked,
    /// It ignores the token and executes the operation.
    Ignored,
}

/// `Organisation` has API keys and a share of the capacity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Share of the capacity in relation to the weights of the other organisations.
    pub weight: u64,
    /// SHA-256 of each valid API key in hexadecimal; two or more during key rotation.
    pub keys: Vec<String>,
    /// Limit in tokens a second over all daemons, zero for no limit.
    pub tokens_per_second: u64,
}

/// `Model` is what callers request; one of its versions answers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name of the version that serves the model outside a rollout.
    pub version: String,
}

/// `Version` is one version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Version {
    /// Name of the model.
    pub model: String,
}

/// `Service` is a plain service beside the model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Whether the service itself runs requests with the same idempotency key only once.
    pub deduplicates: bool,
}

/// `Upstream` is a process that the daemons send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// Socket address as `IP:port`.
    pub address: String,
    /// Name of its host, as in the cloud's notices and host list.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the cloud may reclaim its host.
    pub tenure: Tenure,
    /// Names of the versions it serves; empty for a plain service.
    pub versions: Vec<String>,
    /// Name of the plain service it runs, `None` for a model engine.
    pub service: Option<String>,
    /// Requests that it can process at the same time.
    pub slots: u64,
    /// Price of its host in units of account an hour.
    pub price: f64,
    /// How it handles outdated fencing tokens.
    pub fencing: Fencing,
    /// Number that the operator raises when another host gets the name.
    pub incarnation: u64,
}

/// `Route` maps a path to a model or a plain service and says how to treat its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Path; a trailing `/*` matches all paths below it.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Name of the model, for a chat route.
    pub model: Option<String>,
    /// Name of the plain service, for a service route.
    pub service: Option<String>,
    /// Class of its requests.
    pub class: Class,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time limit from the arrival of a request to the end of its answer.
    pub deadline_ms: Millis,
    /// Target for the time to the first token or to the head of the answer.
    pub first_token_ms: Millis,
    /// Target for the time between two tokens.
    pub between_tokens_ms: Millis,
}

/// `Rollout` moves a model from one version to another by a deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rollout {
    /// Name of the model.
    pub model: String,
    /// Name of the version that serves before the rollout.
    pub from: String,
    /// Name of the version that serves after the rollout.
    pub to: String,
    /// Shares of traffic in per cent, in rising order; a last step of 100 is implied.
    pub steps: Vec<u64>,
    /// Shortest duration of each step.
    pub step_ms: Millis,
    /// Answers of the new version that each step requires.
    pub evidence: u64,
    /// Unix time by which the rollout must be finished or rolled back.
    pub deadline_unix_ms: Millis,
}

/// `Objective` is a service-level objective of one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Name of the route.
    pub route: String,
    /// Share of requests that must meet the objective, from 0 to 1.
    pub target: f64,
    /// Longest time to the first byte of a request that meets the objective.
    pub latency_ms: Millis,
}

/// `Document` is a whole object set, with references by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Document {
    /// Organisations by name.
    pub organisation: BTreeMap<String, Organisation>,
    /// Models by name.
    pub model: BTreeMap<String, Model>,
    /// Versions by name.
    pub version: BTreeMap<String, Version>,
    /// Plain services by name.
    pub service: BTreeMap<String, Service>,
    /// Upstreams by name.
    pub upstream: BTreeMap<String, Upstream>,
    /// Routes by name.
    pub route: BTreeMap<String, Route>,
    /// Rollouts by name.
    pub rollout: BTreeMap<String, Rollout>,
    /// Objectives by name.
    pub objective: BTreeMap<String, Objective>,
}
