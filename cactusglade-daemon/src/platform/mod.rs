//! Calls to the platform, typed.

use std::collections::BTreeMap;

use cactusglade_core::row::Head;
use cactusglade_wire::platform as wire;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use cactusglade_link::link;
use cactusglade_link::link::Client;

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The call did not take effect.
    #[error("the platform refused: {0}")]
    Refused(String),
    /// The call may have taken effect.
    #[error("the platform's answer was lost")]
    Unknown,
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

/// `Committed` says how a transaction ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Committed {
    /// All of it took effect.
    Yes,
    /// None of it did: these rows were not as expected.
    No(wire::Conflict),
}

/// `Platform` calls the platform's table, object store, cloud and host list.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
}

impl Platform {
    /// Wraps a client of the platform's address.
    #[must_use]
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when it may have taken effect.
    pub async fn commit(&self, commit: &wire::Commit) -> Result<Committed> {
        let answer = self
            .client
            .call("POST", wire::COMMIT_PATH, encode(commit))
            .await;
        let answer = answer.map_err(|error| match error {
            link::Error::NotSent => refused("it was not reached"),
            link::Error::Lost | link::Error::Timeout => Error::Unknown,
        })?;
        match answer.status {
            200 => Ok(Committed::Yes),
            409 => Ok(Committed::No(decode(&answer.body)?)),
            status => Err(refused(&format!("status {status}"))),
        }
    }

    /// Reads rows by key and prefix.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer with rows.
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
    /// Fails when the platform does not answer or the row is malformed.
    pub async fn row<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>> {
        let row = self.read(&[key], &[]).await?.remove(key);
        row.map(|row| serde_json::from_value(row).map_err(|error| refused(&error.to_string())))
            .transpose()
    }

    /// Reads the head of the object set.
    ///
    /// # Errors
    ///
    /// As for [`row`](Self::row).
    pub async fn head(&self) -> Result<Option<Head>> {
        self.row(wire::HEAD_KEY).await
    }

    /// Stores an object under its digest.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not confirm; storing again is harmless.
    pub async fn put_object(&self, digest: &str, body: String) -> Result<()> {
        let path = format!("{}{digest}", wire::OBJECTS_PATH);
        self.call("PUT", &path, body.into_bytes()).await.map(drop)
    }

    /// Reads an object by its digest.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or has no such object.
    pub async fn object(&self, digest: &str) -> Result<String> {
        let path = format!("{}{digest}", wire::OBJECTS_PATH);
        let body = self.call("GET", &path, Vec::new()).await?;
        String::from_utf8(body).map_err(|error| refused(&error.to_string()))
    }

    /// Reads the cloud's notices.
    ///
    /// # Errors
    ///
    /// Fails when the cloud does not answer.
    pub async fn notices(&self) -> Result<Vec<wire::Notice>> {
        decode(&self.call("GET", wire::NOTICES_PATH, Vec::new()).await?)
    }

    /// Reads the lagging list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn hosts(&self) -> Result<Vec<wire::Host>> {
        decode(&self.call("GET", wire::HOSTS_PATH, Vec::new()).await?)
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Vec<u8>> {
        let answer = self.client.call(method, path, body).await;
        let answer = answer.map_err(|error| refused(&error.to_string()))?;
        if (200..300).contains(&answer.status) {
            Ok(answer.body.to_vec())
        } else {
            Err(refused(&format!("status {}", answer.status)))
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
