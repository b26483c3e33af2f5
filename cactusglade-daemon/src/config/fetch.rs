//! Fetches the document of a generation: by delta or snapshot from the platform, or from a peer.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::meta::Document;
use cactusglade_core::row::Head;
use cactusglade_core::set::digest;
use serde_json::Value;

use crate::peer::client;
use crate::platform;
use crate::platform::Platform;

/// Timeout for fetching a snapshot from one peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// `Error` is a failure to fetch a document.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform did not return the object.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// The object returned does not have the digest given in the head.
    #[error("digest mismatch: the fetched object does not have the digest {0}")]
    Digest(String),
    /// The object returned is not a valid document.
    #[error("the fetched object is not a valid document: {0}")]
    Malformed(#[from] serde_json::Error),
    /// Neither the platform nor a peer returned the document of this generation.
    #[error("neither the platform nor a peer returned the document of generation {0}")]
    Unavailable(u64),
}

/// `Result` of a fetch.
pub type Result<T> = std::result::Result<T, Error>;

/// `Fetched` is a fetched document, parsed and as text.
#[derive(Debug)]
pub struct Fetched {
    /// The parsed document.
    pub document: Document,
    /// The document as JSON text, of which the head has the digest.
    pub snapshot: String,
}

/// `Source` holds the sources that a document is fetched from.
pub struct Source {
    /// The platform.
    pub platform: Platform,
    /// Local address of connections to peers.
    pub local_address: IpAddr,
    /// Addresses of peers to fetch from where the platform fails.
    pub peers: Vec<String>,
    /// The document of the preceding generation, where that is the active one.
    pub document: Option<Arc<Document>>,
}

impl Source {
    /// Fetches the document of a head: by delta, then by snapshot, then from each peer in turn.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when no source returned a document with the head's digest.
    pub async fn fetch(&self, head: &Head) -> Result<Fetched> {
        if let Ok(fetched) = self.by_delta(head).await {
            return Ok(fetched);
        }
        if let Ok(fetched) = self.by_snapshot(head).await {
            return Ok(fetched);
        }
        for address in &self.peers {
            let Ok(address) = address.parse() else {
                continue;
            };
            let snapshot =
                client::snapshot(self.local_address, address, head.generation, PEER_TIMEOUT).await;
            if let Some(snapshot) = snapshot
                && let Ok(fetched) = read(snapshot, head)
            {
                return Ok(fetched);
            }
        }
        Err(Error::Unavailable(head.generation.0))
    }

    async fn by_delta(&self, head: &Head) -> Result<Fetched> {
        let unavailable = || Error::Unavailable(head.generation.0);
        let before = self.document.as_ref().ok_or_else(unavailable)?;
        let delta = head.delta.as_ref().ok_or_else(unavailable)?;
        let text = self.platform.object(delta).await?;
        if digest(text.as_bytes()) != *delta {
            return Err(Error::Digest(delta.clone()));
        }
        let document = apply(before, &serde_json::from_str(&text)?)?;
        read(serde_json::to_string(&document)?, head)
    }

    async fn by_snapshot(&self, head: &Head) -> Result<Fetched> {
        read(self.platform.object(&head.digest).await?, head)
    }
}

fn read(snapshot: String, head: &Head) -> Result<Fetched> {
    if digest(snapshot.as_bytes()) != head.digest {
        return Err(Error::Digest(head.digest.clone()));
    }
    let document = serde_json::from_str(&snapshot)?;
    Ok(Fetched { document, snapshot })
}

/// Returns the changes from one document to the next: objects by kind and name, `null` for a
/// removed object.
///
/// # Errors
///
/// Returns an error when a document can't be serialised.
pub fn delta(before: &Document, after: &Document) -> serde_json::Result<Value> {
    let (before, after) = (serde_json::to_value(before)?, serde_json::to_value(after)?);
    let mut delta = serde_json::Map::new();
    for (kind, after) in after.as_object().into_iter().flatten() {
        let empty = serde_json::Map::new();
        let old = before
            .get(kind)
            .and_then(Value::as_object)
            .unwrap_or(&empty);
        let new = after.as_object().unwrap_or(&empty);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let changed = new
            .iter()
            .filter(|(name, object)| old.get(*name) != Some(object));
        let mut objects: serde_json::Map<_, _> =
            removed.map(|name| (name.clone(), Value::Null)).collect();
        objects.extend(changed.map(|(name, object)| (name.clone(), object.clone())));
        if !objects.is_empty() {
            delta.insert(kind.clone(), Value::Object(objects));
        }
    }
    Ok(Value::Object(delta))
}

/// Applies a delta to a document.
fn apply(before: &Document, delta: &Value) -> serde_json::Result<Document> {
    let mut document = serde_json::to_value(before)?;
    for (kind, changes) in delta.as_object().into_iter().flatten() {
        let Some(objects) = document.get_mut(kind).and_then(Value::as_object_mut) else {
            continue;
        };
        for (name, object) in changes.as_object().into_iter().flatten() {
            if object.is_null() {
                objects.remove(name);
            } else {
                objects.insert(name.clone(), object.clone());
            }
        }
    }
    serde_json::from_value(document)
}
