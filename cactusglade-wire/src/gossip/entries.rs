//! Changes of the registry of upstreams, which the relay of a zone forwards.

use bincode::Options;
use cactusglade_core::fleet::Change;
use cactusglade_core::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

use super::MAX_DATAGRAM_BYTES;

/// `Watermark` says how far a daemon has read the registry of upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Watermark {
    /// Revision of the last change that it knows.
    pub revision: Revision,
    /// Milliseconds since the store itself last confirmed that revision, where it ever did.
    pub age_ms: Option<u64>,
}

/// `Entries` is one part of the registry changes that a daemon has read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// Revision to which the changes apply.
    pub after: Revision,
    /// Revision that is reached once all parts have arrived.
    pub revision: Revision,
    /// Index of this part.
    pub part: usize,
    /// Number of parts.
    pub parts: usize,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Changes in one part, each about a hundred bytes long.
const CHANGES_PER_PART: usize = 10;
/// Bytes of the number of a datagram's kind.
const KIND_BYTES: usize = 1;

impl Entries {
    /// Splits changes into parts that each fit a datagram.
    #[must_use]
    pub fn split(after: Revision, revision: Revision, changes: &[Change]) -> Vec<Self> {
        Self::split_within(after, revision, changes, MAX_DATAGRAM_BYTES)
    }

    /// Splits changes into parts that each have at most `max_bytes` as a datagram.
    #[must_use]
    pub fn split_within(
        after: Revision,
        revision: Revision,
        changes: &[Change],
        max_bytes: usize,
    ) -> Vec<Self> {
        let empty = Self {
            after,
            revision,
            part: changes.len(),
            parts: changes.len(),
            changes: Vec::new(),
        };
        let header = encoded_size(&empty).saturating_add(KIND_BYTES);
        let room = max_bytes.saturating_sub(header);
        let mut groups: Vec<Vec<Change>> = Vec::new();
        let mut bytes = 0;
        for change in changes {
            let size = encoded_size(change);
            match groups.last_mut() {
                Some(group)
                    if group.len() < CHANGES_PER_PART && size <= room.saturating_sub(bytes) =>
                {
                    group.push(change.clone());
                    bytes += size;
                }
                _ => {
                    groups.push(vec![change.clone()]);
                    bytes = size;
                }
            }
        }
        let parts = groups.len();
        let groups = groups.into_iter().enumerate();
        let groups = groups.map(|(part, changes)| Self {
            after,
            revision,
            part,
            parts,
            changes,
        });
        groups.collect()
    }
}

fn encoded_size(value: &impl Serialize) -> usize {
    let size = bincode::options().serialized_size(value);
    size.map_or(usize::MAX, |size| {
        usize::try_from(size).unwrap_or(usize::MAX)
    })
}
