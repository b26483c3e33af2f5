//! Keeps the tokens of one answer whole while it moves from upstream to upstream.

/// `Verdict` on one numbered token that arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is the next one: pass it on.
    Pass,
    /// The caller already has it: drop it.
    Drop,
    /// Tokens before it are missing: the attempt is broken.
    Gap,
}

/// `Cursor` counts what the caller has of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    passed: u64,
}

impl Cursor {
    /// Starts after tokens that the caller has already.
    #[must_use]
    pub const fn new(passed: u64) -> Self {
        Self { passed }
    }

    /// How many tokens the caller has.
    #[must_use]
    pub const fn passed(&self) -> u64 {
        self.passed
    }

    /// Judges the token with this number, counted from zero over the whole answer.
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

    /// Whether an answer that claims this many tokens is whole.
    #[must_use]
    pub const fn is_whole(&self, total: u64) -> bool {
        self.passed == total
    }
}
