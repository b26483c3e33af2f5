//! Gets the document of a generation: by its delta, by its snapshot, or from a peer.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::meta::Document;
use cactusglade_core::row::Head;
use cactusglade_core::set::digest;
use serde_json::Value;

use crate::peer::reach;
use crate::platform;
use crate::platform::Platform;

/// Longest wait for one peer's snapshot.
const PEER_WAIT: Duration = Duration::from_secs(1);

/// Error of a fetch.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform did not give the object.
    #[error(transparent)]
    Platform(#[from] platform::Error),
    /// What came is not what the head points to.
    #[error("what came does not have the digest {0}")]
    Digest(String),
    /// What came is no document.
    #[error("what came is no document: {0}")]
    Malformed(#[from] serde_json::Error),
    /// No peer had it either.
    #[error("neither the platform nor a peer gave generation {0}")]
    Nowhere(u64),
}

/// Result of a fetch.
pub type Result<T> = std::result::Result<T, Error>;

/// `Fetched` document, as text and as value.
#[derive(Debug)]
pub struct Fetched {
    /// The document.
    pub document: Document,
    /// The same as the text that has the head's digest.
    pub snapshot: String,
}

/// `Source` knows where a document may be had.
pub struct Source {
    /// The platform.
    pub platform: Platform,
    /// Address that peers are connected to from.
    pub local: IpAddr,
    /// Peer addresses that are asked where the platform does not answer.
    pub peers: Vec<String>,
    /// The document of the generation before, where it is in force here.
    pub document: Option<Arc<Document>>,
}

impl Source {
    /// Gets the document of a head from wherever it comes first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Nowhere`] when no source gave what the head points to.
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
            let snapshot = reach::snapshot(self.local, address, head.generation, PEER_WAIT).await;
            if let Some(snapshot) = snapshot
                && let Ok(fetched) = read(snapshot, head)
            {
                return Ok(fetched);
            }
        }
        Err(Error::Nowhere(head.generation.0))
    }

    async fn by_delta(&self, head: &Head) -> Result<Fetched> {
        let nowhere = || Error::Nowhere(head.generation.0);
        let before = self.document.as_ref().ok_or_else(nowhere)?;
        let delta = head.delta.as_ref().ok_or_else(nowhere)?;
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

/// What changed from one document to the next: objects by kind and name, null for a removed one.
///
/// # Errors
///
/// Fails only where the serialiser does.
pub fn delta(before: &Document, after: &Document) -> serde_json::Result<Value> {
    let (before, after) = (serde_json::to_value(before)?, serde_json::to_value(after)?);
    let mut delta = serde_json::Map::new();
    for (kind, after) in after.as_object().into_iter().flatten() {
        let none = serde_json::Map::new();
        let old = before.get(kind).and_then(Value::as_object).unwrap_or(&none);
        let new = after.as_object().unwrap_or(&none);
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let changed = new
            .iter()
            .filter(|(name, object)| old.get(*name) != Some(object));
        let mut part: serde_json::Map<_, _> =
            removed.map(|name| (name.clone(), Value::Null)).collect();
        part.extend(changed.map(|(name, object)| (name.clone(), object.clone())));
        if !part.is_empty() {
            delta.insert(kind.clone(), Value::Object(part));
        }
    }
    Ok(Value::Object(delta))
}

/// The document that a delta leads to.
fn apply(before: &Document, delta: &Value) -> serde_json::Result<Document> {
    let mut document = serde_json::to_value(before)?;
    for (kind, part) in delta.as_object().into_iter().flatten() {
        let Some(objects) = document.get_mut(kind).and_then(Value::as_object_mut) else {
            continue;
        };
        for (name, object) in part.as_object().into_iter().flatten() {
            if object.is_null() {
                objects.remove(name);
            } else {
                objects.insert(name.clone(), object.clone());
            }
        }
    }
    serde_json::from_value(document)
}
