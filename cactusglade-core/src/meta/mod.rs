//! The objects that operators publish, as they are written and stored.
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

/// `Class` of work says which waits when there is too much.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// May wait, and must finish.
    Deferrable,
}

/// `Tenure` says whether the cloud may take a host back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Tenure {
    /// The host can be reclaimed on seconds of notice.
    Reclaimable,
    /// The host stays until it is given back.
    OnDemand,
}

/// `Fencing` says what an upstream does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out all the same.
    Ignored,
}

/// `Organisation` is a customer with its share of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Organisation {
    /// Share of the service in relation to the other weights.
    pub weight: u64,
    /// SHA-256 of each valid API key in hexadecimal, two or more while keys rotate.
    pub keys: Vec<String>,
    /// Limit in tokens a second over all daemons, zero for none.
    pub tokens_per_second: u64,
}

/// `Model` is what callers ask for; its version is what answers them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Model {
    /// Name of the version that serves where no rollout says otherwise.
    pub version: String,
}

/// `Version` is one back-end version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Version {
    /// Name of the model.
    pub model: String,
}

/// `Service` is a plain service beside the model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    /// Whether the service itself runs a repeated idempotency key only once.
    pub deduplicates: bool,
}

/// `Upstream` is one back end that the daemons send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Upstream {
    /// Socket address as `IP:port`.
    pub address: String,
    /// Name of the host, as in the cloud's notices and host list.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Whether its host can be reclaimed.
    pub tenure: Tenure,
    /// Names of the versions it serves; empty for a plain service.
    pub versions: Vec<String>,
    /// Name of the plain service it runs, if it is no model engine.
    pub service: Option<String>,
    /// Requests it works on at once.
    pub slots: u64,
    /// Price of its host in units of account an hour.
    pub price: f64,
    /// What it does with old fencing numbers.
    pub fencing: Fencing,
    /// Raised when another host takes over the name.
    pub incarnation: u64,
}

/// `Route` maps a path to a model or a plain service and says how to treat its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Path; a trailing `/*` matches everything below it.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Name of the model, for a chat route.
    pub model: Option<String>,
    /// Name of the plain service, for a service route.
    pub service: Option<String>,
    /// Class of work.
    pub class: Class,
    /// Whether a request may be run again.
    pub idempotent: bool,
    /// Longest time from arrival to the end of the answer.
    pub deadline_ms: Millis,
    /// Target for the first token or the head of the answer.
    pub first_token_ms: Millis,
    /// Target for the gap between tokens.
    pub between_tokens_ms: Millis,
}

/// `Rollout` moves a model from one version to another by a deadline.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rollout {
    /// Name of the model.
    pub model: String,
    /// Name of the version that serves before.
    pub from: String,
    /// Name of the version that serves after.
    pub to: String,
    /// Shares of traffic in per cent, rising; 100 is implied at the end.
    pub steps: Vec<u64>,
    /// Shortest stay on each step.
    pub step_ms: Millis,
    /// Answers of the new version wanted on each step.
    pub evidence: u64,
    /// Unix time by which the move is done or undone.
    pub deadline_unix_ms: Millis,
}

/// `Objective` is a service-level objective of one route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Name of the route.
    pub route: String,
    /// Share of requests that must be good, from 0 to 1.
    pub target: f64,
    /// A request slower than this to its first byte is not good.
    pub latency_ms: Millis,
}

/// `Document` is a whole object set by names.
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
