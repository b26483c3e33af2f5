//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that another upstream can resume a stream after the last
//! one.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event in bytes; those of engines have a few hundred bytes.
const MAX_BYTES: usize = 1 << 20;

/// Error of splitting a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the longest length.
    #[error("event exceeds {MAX_BYTES} bytes")]
    TooLong,
}

/// Result of splitting a stream.
pub type Result<T> = std::result::Result<T, Error>;

/// `Event` is one complete event, unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event, if it has one.
    pub id: Option<u64>,
    /// All bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// `Splitter` buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    searched: usize,
}

impl Splitter {
    /// Appends bytes to the buffer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`] if the buffer would exceed the longest event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        if self.buffer.len() + bytes.len() > MAX_BYTES {
            return Err(Error::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether the buffer has bytes of an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn pop(&mut self) -> Option<Event> {
        let Some(end) = self.end() else {
            self.searched = self.buffer.len().saturating_sub(LONGEST_TERMINATOR - 1);
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }

    fn end(&self) -> Option<usize> {
        let bytes = &self.buffer[..];
        (self.searched..bytes.len()).find_map(|at| {
            let rest = &bytes[at..];
            TERMINATORS
                .iter()
                .find(|terminator| rest.starts_with(terminator))
                .map(|terminator| at + terminator.len())
        })
    }
}

const TERMINATORS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const LONGEST_TERMINATOR: usize = 4;

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
