//! The platform's interfaces: table, object store, cloud notices, prices and host list.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Path of a conditional write of one or more rows.
pub const COMMIT_PATH: &str = "/v1/table/commit";
/// Path of a read of rows by key and by prefix.
pub const READ_PATH: &str = "/v1/table/read";
/// Path prefix of objects, followed by the digest.
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path of the cloud's notices of reclaimed hosts.
pub const NOTICES_PATH: &str = "/v1/cloud/notices";
/// Path of the cloud's prices.
pub const PRICES_PATH: &str = "/v1/cloud/prices";
/// Path of the list of hosts, which may be out of date.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Key of the row that points to the object set in force.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of rollouts.
pub const MOVE_PREFIX: &str = "move/";
/// Key of the lease on rollouts.
pub const ROLLOUT_LEASE_KEY: &str = "lease/rollouts";
/// Prefix of the rows of work that is not finished.
pub const WORK_PREFIX: &str = "work/open/";
/// Prefix of the rows of work that is finished.
pub const FINISHED_PREFIX: &str = "work/done/";
/// Prefix of the rows of attempts.
pub const ATTEMPT_PREFIX: &str = "attempt/";

/// `Write` changes one row if it has the expected content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Expected content of the row, null for an absent row.
    pub expect: Option<Value>,
    /// New content of the row, null to remove it.
    pub value: Option<Value>,
}

/// `Check` makes a transaction depend on the content of a row that the transaction does not change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Expected content of the row, null for an absent row.
    pub expect: Option<Value>,
}

/// `Commit` is one transaction, of which all writes take effect or none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Commit {
    /// Rows to change.
    pub writes: Vec<Write>,
    /// Rows that must have the expected content.
    #[serde(default)]
    pub checks: Vec<Check>,
}

/// `Conflict` lists the rows that did not have the expected content, with their content.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Rows by key, null for an absent one.
    pub rows: BTreeMap<String, Option<Value>>,
}

/// `Read` requests rows by key and by prefix.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Read {
    /// Keys of single rows.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefixes of which all rows are requested.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// `Rows` is the answer to a read, without the rows that are absent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Rows {
    /// Rows by key.
    pub rows: BTreeMap<String, Value>,
}

/// `Notice` announces that the cloud reclaims a host.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Notice {
    /// Name of the host.
    pub host: String,
    /// Unix time in milliseconds at which the host will be gone.
    pub gone_unix_ms: u64,
}

/// `Host` is an entry of the list of hosts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Address for other daemons, if a daemon runs on the host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
}
