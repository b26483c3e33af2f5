//! Publishes an object set by a conditional write of the head row.

use cactusglade_core::meta::Document;
use cactusglade_core::row::Head;
use cactusglade_core::set::digest;
use cactusglade_core::units::Generation;
use cactusglade_daemon::config::fetch::delta;
use cactusglade_daemon::platform;
use cactusglade_daemon::platform::Committed;
use cactusglade_daemon::platform::Platform;
use cactusglade_wire::platform as wire;

/// Maximum number of reads of the head to resolve the outcome of a write whose answer was lost.
const MAX_OUTCOME_READS: u32 = 20;
/// Time between two such reads of the head.
const OUTCOME_READ_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);

/// Error of publishing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another operator published at the same time and won.
    #[error("nothing was published: {winner} published generation {generation} first")]
    Conflict {
        /// Author of the generation that won.
        winner: String,
        /// The generation that won.
        generation: u64,
    },
    /// The current generation is not the expected one.
    #[error("nothing was published: generation {expected} was expected but {found} is current")]
    Unexpected {
        /// The generation that was expected.
        expected: u64,
        /// The current generation.
        found: u64,
    },
    /// The platform failed or refused; nothing was published.
    #[error("nothing was published: {0}")]
    Platform(platform::Error),
    /// The outcome is unknown: the set of this generation may have been published.
    #[error(
        "the answer was lost and the head can't be read: generation {0} may have been \
         published; run `cactusglade status` before publishing again"
    )]
    Unknown(u64),
    /// The set or its head can't be encoded as JSON.
    #[error("nothing was published: the set or its head can't be encoded as JSON: {0}")]
    Encode(#[from] serde_json::Error),
}

/// Result of publishing.
pub type Result<T> = std::result::Result<T, Error>;

/// `Request` is an operator's request to publish a set.
#[derive(Clone, Debug)]
pub struct Request {
    /// The set, which must have been checked.
    pub document: Document,
    /// Name of the operator who publishes.
    pub author: String,
    /// The generation that must be current, if given.
    pub expect: Option<Generation>,
}

/// Publishes a set and returns its generation.
///
/// # Errors
///
/// Fails when another operator won, when nothing was published, or when the outcome is unknown; see
/// [`Error`].
pub async fn publish(platform: &Platform, request: &Request) -> Result<Generation> {
    let before = platform.head().await.map_err(Error::Platform)?;
    let current = before
        .as_ref()
        .map_or(Generation(0), |head| head.generation);
    if let Some(expected) = request.expect
        && expected != current
    {
        return Err(Error::Unexpected {
            expected: expected.0,
            found: current.0,
        });
    }
    let snapshot = serde_json::to_string(&request.document)?;
    let address = digest(snapshot.as_bytes());
    platform
        .put_object(&address, snapshot)
        .await
        .map_err(Error::Platform)?;
    let head = Head {
        generation: current.next(),
        digest: address,
        delta: put_delta(platform, before.as_ref(), &request.document).await?,
        author: request.author.clone(),
        publish: format!("{:032x}", rand::random::<u128>()),
    };
    commit(platform, before, head).await
}

/// Stores the difference to the current set; without it, daemons fetch the whole snapshot.
async fn put_delta(
    platform: &Platform,
    before: Option<&Head>,
    after: &Document,
) -> Result<Option<String>> {
    let Some(before) = before else {
        return Ok(None);
    };
    let Ok(snapshot) = platform.object(&before.digest).await else {
        return Ok(None);
    };
    let Ok(document) = serde_json::from_str::<Document>(&snapshot) else {
        return Ok(None);
    };
    let text = delta(&document, after)?.to_string();
    let address = digest(text.as_bytes());
    let stored = platform.put_object(&address, text).await;
    Ok(stored.is_ok().then_some(address))
}

async fn commit(platform: &Platform, before: Option<Head>, head: Head) -> Result<Generation> {
    let commit = wire::Commit {
        writes: vec![wire::Write {
            key: wire::HEAD_KEY.to_owned(),
            expect: before.map(serde_json::to_value).transpose()?,
            value: Some(serde_json::to_value(&head)?),
        }],
        checks: Vec::new(),
    };
    match platform.commit(&commit).await {
        Ok(Committed::Yes) => Ok(head.generation),
        Ok(Committed::No(_)) => Err(conflict(platform, &head).await),
        Err(platform::Error::Unknown) => resolve_outcome(platform, &head).await,
        Err(error) => Err(Error::Platform(error)),
    }
}

async fn conflict(platform: &Platform, head: &Head) -> Error {
    match platform.head().await {
        Ok(Some(winner)) => Error::Conflict {
            winner: winner.author,
            generation: winner.generation.0,
        },
        _ => Error::Conflict {
            winner: "another operator".to_owned(),
            generation: head.generation.0,
        },
    }
}

/// Reads the head to resolve the outcome of a write whose answer was lost.
///
/// An unchanged head does not prove that the write failed: it may still be in flight.
async fn resolve_outcome(platform: &Platform, head: &Head) -> Result<Generation> {
    for _ in 0..MAX_OUTCOME_READS {
        if let Ok(Some(found)) = platform.head().await
            && found.generation >= head.generation
        {
            return if found.publish == head.publish {
                Ok(head.generation)
            } else if found.generation == head.generation {
                Err(Error::Conflict {
                    winner: found.author,
                    generation: found.generation.0,
                })
            } else {
                // A later generation was published on top of either this or a competing write; the
                // head row of this generation, which would show which, has been overwritten.
                Err(Error::Unknown(head.generation.0))
            };
        }
        tokio::time::sleep(OUTCOME_READ_INTERVAL).await;
    }
    Err(Error::Unknown(head.generation.0))
}
