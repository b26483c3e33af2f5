//! The platform's interfaces: table, object store, cloud notices, prices and host list.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Path of a conditional write of one or more rows.
pub const COMMIT_PATH: &str = "/v1/table/commit";
/// Path of a read of rows by key and by prefix.
pub const READ_PATH: &str = "/v1/table/read";
/// Path below which objects stand by their digest.
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path of the cloud's notices.
pub const NOTICES_PATH: &str = "/v1/cloud/notices";
/// Path of the cloud's prices.
pub const PRICES_PATH: &str = "/v1/cloud/prices";
/// Path of the lagging list of hosts.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Key of the row that points to the object set in force.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the rows of version moves.
pub const MOVE_PREFIX: &str = "move/";
/// Key of the lease on driving rollouts.
pub const ROLLOUT_LEASE_KEY: &str = "lease/rollouts";
/// Prefix of the rows of work that is not finished.
pub const WORK_PREFIX: &str = "work/open/";
/// Prefix of the rows of work that is finished.
pub const FINISHED_PREFIX: &str = "work/done/";
/// Prefix of the rows of attempts.
pub const ATTEMPT_PREFIX: &str = "attempt/";

/// `Write` changes one row if it holds what is expected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// What the row must hold, null for an absent row.
    pub expect: Option<Value>,
    /// What it is to hold, null to remove it.
    pub value: Option<Value>,
}

/// `Check` holds a transaction back unless a row that it does not change is as expected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// What the row must hold, null for an absent row.
    pub expect: Option<Value>,
}

/// `Commit` is one transaction: all of its writes take effect or none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Commit {
    /// Rows to change.
    pub writes: Vec<Write>,
    /// Rows that must be as expected.
    #[serde(default)]
    pub checks: Vec<Check>,
}

/// `Conflict` lists the rows that were not as expected, with what they hold.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Rows by key, null for an absent one.
    pub rows: BTreeMap<String, Option<Value>>,
}

/// `Read` asks for rows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Read {
    /// Keys of single rows.
    #[serde(default)]
    pub keys: Vec<String>,
    /// Prefixes of which every row is wanted.
    #[serde(default)]
    pub prefixes: Vec<String>,
}

/// `Rows` answers a read; absent rows are left out.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Rows {
    /// Rows by key.
    pub rows: BTreeMap<String, Value>,
}

/// `Notice` says that the cloud takes a host back.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Notice {
    /// Name of the host.
    pub host: String,
    /// Unix time at which the host is gone.
    pub gone_unix_ms: u64,
}

/// `Host` is an entry of the lagging list.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Address for other daemons, if a daemon runs on it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers: Option<String>,
}
