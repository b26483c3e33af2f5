//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that another upstream can resume a stream after the last
//! one. Other text, such as an error that a faulty upstream writes in the middle of a stream, is
//! not forwarded. See `docs/PROOFS.md`.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event in bytes; those of engines have a few hundred bytes.
const MAX_BYTES: usize = 1 << 20;
/// Fields of events in the standard of server-sent events.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Error of splitting a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// An event exceeds the longest length.
    #[error("event exceeds {MAX_BYTES} bytes")]
    TooLong,
    /// A line is neither a comment nor a field of an event.
    #[error("found text that is no event, expected lines with the fields of events")]
    NotAnEvent,
}

/// Result of splitting a stream.
pub type Result<T> = std::result::Result<T, Error>;

/// `Event` is one complete event, unchanged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event, if it has one.
    pub id: Option<u64>,
    /// Whether it has data; one without data only keeps the connection alive.
    pub has_data: bool,
    /// All bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
}

/// `Splitter` buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of bytes already searched for the end of an event.
    searched: usize,
    /// Fields that events may have beside the standard ones.
    further_fields: &'static [&'static str],
}

impl Splitter {
    /// Creates a splitter of events that may have these fields beside the standard ones.
    #[must_use]
    pub fn new(further_fields: &'static [&'static str]) -> Self {
        Self {
            further_fields,
            ..Self::default()
        }
    }

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

    /// Returns the length of the buffer in bytes.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer has bytes of an incomplete event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotAnEvent`] if the next text is no event.
    pub fn pop(&mut self) -> Result<Option<Event>> {
        let Some(end) = self.end() else {
            self.searched = self.buffer.len().saturating_sub(LONGEST_TERMINATOR - 1);
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let (mut id, mut has_data) = (None, false);
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let (name, value) = split_field(line);
            match name {
                b"id" if id.is_none() => id = number(value),
                b"data" => has_data = true,
                _ if line.is_empty() || line.starts_with(b":") || self.is_field(name) => {}
                _ => return Err(Error::NotAnEvent),
            }
        }
        Ok(Some(Event {
            id,
            has_data,
            bytes,
        }))
    }

    fn is_field(&self, name: &[u8]) -> bool {
        let mut further = self.further_fields.iter();
        FIELDS.contains(&name) || further.any(|field| field.as_bytes() == name)
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

/// Splits a line at its first colon into the name and the value of a field.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let colon = line.iter().position(|byte| *byte == b':');
    let colon = colon.unwrap_or(line.len());
    (&line[..colon], line.get(colon + 1..).unwrap_or_default())
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
