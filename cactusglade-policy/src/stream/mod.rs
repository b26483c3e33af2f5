//! Removes duplicate tokens and detects missing ones when a stream moves between upstreams.

/// `Verdict` is the decision on one received token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The token is the next one and is forwarded.
    Pass,
    /// The caller already has the token, so it is dropped.
    Drop,
    /// Tokens before this one are missing, so the attempt has failed.
    Gap,
}

/// `Cursor` is the caller's position in a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    passed: u64,
}

impl Cursor {
    /// Creates a cursor after the given number of tokens.
    #[must_use]
    pub const fn new(passed: u64) -> Self {
        Self { passed }
    }

    /// Returns the number of tokens that the caller has.
    #[must_use]
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Decides on a token by its index, counted from zero over the whole answer.
    pub fn accept(&mut self, index: u64) -> Verdict {
        match index.cmp(&self.passed) {
            std::cmp::Ordering::Less => Verdict::Drop,
            std::cmp::Ordering::Greater => Verdict::Gap,
            std::cmp::Ordering::Equal => {
                self.passed += 1;
                Verdict::Pass
            }
        }
    }

    /// Returns whether an answer of `total` tokens is complete.
    #[must_use]
    pub const fn is_complete(&self, total: u64) -> bool {
        self.passed == total
    }
}
