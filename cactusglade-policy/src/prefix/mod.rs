//! Index of the prompt prefixes that an upstream has probably cached.
//!
//! An engine caches whole blocks of a prompt. The index holds the hash of each block chained with
//! all blocks before it, so that a match means that the whole prefix is the same.

use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Size of a prompt block in bytes.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks in an index.
const MAX_BLOCKS: usize = 4_096;

/// `Prompt` is a prompt as a chain of block hashes and a length.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    blocks: Vec<u64>,
    bytes: usize,
}

impl Prompt {
    /// Hashes the blocks of a prompt, without an incomplete last block.
    #[must_use]
    pub fn new(text: &str) -> Self {
        const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
        const PRIME: u64 = 0x0100_0000_01b3;
        let mut hash = OFFSET;
        let mut blocks = Vec::new();
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            for byte in block {
                hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
            }
            blocks.push(hash);
        }
        Self {
            blocks,
            bytes: text.len(),
        }
    }

    /// Returns the length in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }
}

/// `Index` holds the blocks that one upstream has probably cached, and evicts the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    known: BTreeSet<u64>,
    order: VecDeque<u64>,
}

impl Index {
    /// Records that a prompt was sent to the upstream.
    pub fn insert(&mut self, prompt: &Prompt) {
        for block in &prompt.blocks {
            if self.known.insert(*block) {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MAX_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Returns the length in bytes of the prompt's prefix that is probably cached.
    #[must_use]
    pub fn cached_bytes(&self, prompt: &Prompt) -> usize {
        let cached = prompt
            .blocks
            .iter()
            .take_while(|block| self.known.contains(block))
            .count();
        cached * BLOCK_BYTES
    }
}
