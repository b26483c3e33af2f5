//! Cuts a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so that a stream can go on at another upstream after the last.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is waited for, in bytes; engines send events of some hundred bytes.
const MAX_BYTES: usize = 1 << 20;

/// Error of reading events.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An event is longer than any that is sound.
    #[error("an event is too long")]
    TooLong,
}

/// Result of reading events.
pub type Result<T> = std::result::Result<T, Error>;

/// `Event` is one whole event as it came.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event, where it bears one.
    pub id: Option<u64>,
    /// All of its bytes with the empty line at its end.
    pub bytes: Bytes,
}

/// `Splitter` collects bytes and gives back whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes in which no end of an event was found.
    searched: usize,
}

impl Splitter {
    /// Takes in further bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Error::TooLong`] when no event ended for too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        if self.buffer.len() + bytes.len() > MAX_BYTES {
            return Err(Error::TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Whether the buffer holds an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next whole event.
    pub fn pop(&mut self) -> Option<Event> {
        let Some(end) = self.end() else {
            self.searched = self.buffer.len().saturating_sub(LONGEST_END - 1);
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
            ENDS.iter()
                .find(|end| rest.starts_with(end))
                .map(|end| at + end.len())
        })
    }
}

const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const LONGEST_END: usize = 4;

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let value = values.next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
