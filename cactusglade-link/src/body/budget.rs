//! A bound on the bytes that many bodies hold together.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::body::Error;
use crate::body::Result;

/// Bytes of each body that need no share, so that short bodies are read while long ones use up the
/// budget.
const FREE_BYTES: usize = 16 << 10;
/// Bytes that all bodies of one kind hold beside those.
const DEFAULT_BYTES: usize = 48 << 20;
/// Unit in bytes in which shares are given out.
const BLOCK_BYTES: usize = 16 << 10;

/// `Budget` gives shares of its bytes to bodies; clones give out the same bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    blocks: Arc<Semaphore>,
}

/// `Share` is the part of a [`Budget`] that one body holds until it is dropped.
#[derive(Debug)]
pub struct Share {
    blocks: Arc<Semaphore>,
    held: Option<OwnedSemaphorePermit>,
}

/// `Held` is a body with its share.
struct Held {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Budget {
    /// Creates a budget of this number of bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            blocks: Arc::new(Semaphore::new(bytes / BLOCK_BYTES)),
        }
    }

    /// Returns a share, empty at first.
    #[must_use]
    pub fn share(&self) -> Share {
        Share {
            blocks: self.blocks.clone(),
            held: None,
        }
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(DEFAULT_BYTES)
    }
}

impl Share {
    /// Changes the share to what a body of this length needs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::OverBudget`] where other bodies hold the rest of the budget.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        let needed = bytes.saturating_sub(FREE_BYTES).div_ceil(BLOCK_BYTES);
        let held = self.held.as_ref();
        let held = held.map_or(0, OwnedSemaphorePermit::num_permits);
        if needed < held {
            drop(self.held.as_mut().and_then(|all| all.split(held - needed)));
        } else if needed > held {
            let further = u32::try_from(needed - held).map_err(|_| Error::OverBudget)?;
            let further = self.blocks.clone().try_acquire_many_owned(further);
            let further = further.map_err(|_| Error::OverBudget)?;
            match &mut self.held {
                Some(held) => held.merge(further),
                none => *none = Some(further),
            }
        }
        Ok(())
    }

    /// Returns a body that keeps the share as long as its bytes.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        if self.held.is_none() {
            return bytes;
        }
        let held = Held {
            bytes,
            _share: self,
        };
        Bytes::from_owner(held)
    }
}
