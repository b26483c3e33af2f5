//! The typed client of the platform's HTTP interface.

use std::collections::BTreeMap;

use cactusglade_core::row::Head;
use cactusglade_wire::platform as wire;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use cactusglade_link::link;
use cactusglade_link::link::Client;

/// `Error` is a failed call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// A transaction did not take effect, or another call failed.
    #[error("platform call failed: {0}")]
    Refused(String),
    /// The transaction may have taken effect.
    #[error("no answer from the platform: the transaction may have taken effect")]
    Unknown,
}

/// `Result` of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Committed` is the outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// All writes took effect.
    Yes,
    /// No write took effect: these rows differ from the expected ones.
    No(wire::Conflict),
}

/// `Platform` is the client of the platform's table, object store, cloud and list of hosts.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
}

impl Platform {
    /// Creates a client over the HTTP client of the platform's address.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the transaction may have taken effect, and [`Error::Refused`]
    /// when it did not.
    pub async fn commit(&self, commit: &wire::Commit) -> Result<Committed> {
        let answer = self
            .client
            .call("POST", wire::COMMIT_PATH, encode(commit))
            .await;
        let answer = answer.map_err(|error| match error {
            link::Error::NotSent => refused("the request was not sent"),
            link::Error::Lost | link::Error::Flooded | link::Error::Timeout => Error::Unknown,
        })?;
        match answer.status {
            200 => Ok(Committed::Yes),
            409 => Ok(Committed::No(decode(&answer.body)?)),
            status => Err(refused(&format!("unexpected HTTP status {status}"))),
        }
    }

    /// Reads rows by key and prefix.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the platform does not answer with rows.
    pub async fn read(&self, keys: &[&str], prefixes: &[&str]) -> Result<BTreeMap<String, Value>> {
        let owned = |texts: &[&str]| texts.iter().map(|text| (*text).to_owned()).collect();
        let read = wire::Read {
            keys: owned(keys),
            prefixes: owned(prefixes),
        };
        let body = self.call("POST", wire::READ_PATH, encode(&read)).await?;
        Ok(decode::<wire::Rows>(&body)?.rows)
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the platform does not answer or the row is malformed.
    pub async fn row<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>> {
        let row = self.read(&[key], &[]).await?.remove(key);
        row.map(|row| serde_json::from_value(row).map_err(|error| refused(&error.to_string())))
            .transpose()
    }

    /// Reads the head of the published object set.
    ///
    /// # Errors
    ///
    /// As for [`row`](Self::row).
    pub async fn head(&self) -> Result<Option<Head>> {
        self.row(wire::HEAD_KEY).await
    }

    /// Stores an object under its digest. The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the platform does not confirm; the object may be stored.
    pub async fn put_object(&self, digest: &str, body: String) -> Result<()> {
        let path = format!("{}{digest}", wire::OBJECTS_PATH);
        self.call("PUT", &path, body.into_bytes()).await.map(drop)
    }

    /// Reads an object by its digest.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the platform does not answer or has no such object.
    pub async fn object(&self, digest: &str) -> Result<String> {
        let path = format!("{}{digest}", wire::OBJECTS_PATH);
        let body = self.call("GET", &path, Vec::new()).await?;
        String::from_utf8(body).map_err(|error| refused(&error.to_string()))
    }

    /// Reads the cloud's notices of hosts that it will reclaim.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the cloud does not answer.
    pub async fn notices(&self) -> Result<Vec<wire::Notice>> {
        decode(&self.call("GET", wire::NOTICES_PATH, Vec::new()).await?)
    }

    /// Reads the list of hosts, which lags behind the actual state.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the platform does not answer.
    pub async fn hosts(&self) -> Result<Vec<wire::Host>> {
        decode(&self.call("GET", wire::HOSTS_PATH, Vec::new()).await?)
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Vec<u8>> {
        let answer = self.client.call(method, path, body).await;
        let answer = answer.map_err(|error| refused(&error.to_string()))?;
        if (200..300).contains(&answer.status) {
            Ok(answer.body.to_vec())
        } else {
            Err(refused(&format!(
                "unexpected HTTP status {}",
                answer.status
            )))
        }
    }
}

fn refused(reason: &str) -> Error {
    Error::Refused(reason.to_owned())
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| refused(&error.to_string()))
}
