//! Bodies that are read as a whole, with a bound on the work and memory for what a peer sends.
//!
//! A peer chooses the size of the chunks in which it sends a body. Each of them costs a task switch
//! and, where chunks are kept as they come, memory beyond its data, so that a bound on the data
//! alone would not limit either. See `docs/incidents/small-chunks.md`. Nor does a bound on each body
//! limit what many hold together, which a [`Budget`] does: see `docs/incidents/many-bodies.md`.

mod budget;

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;

pub use budget::Budget;
pub use budget::Share;

/// Chunks that a body of any length may have.
const MIN_CHUNKS: usize = 4_096;
/// Mean length in bytes of the chunks of a longer body, below which it has too many of them.
const MIN_MEAN_CHUNK_BYTES: usize = 64;
/// Bytes beside the data of each chunk: its length and two ends of lines.
const CHUNK_FRAME_BYTES: usize = 32;
/// Bytes beside the chunks of a body: extensions of chunks and trailers, which the HTTP library bounds,
/// and what it reads ahead.
const SPARE_BYTES: usize = 128 << 10;

/// Bytes of the pieces in which a body is kept until it is whole. Pieces of one size leave no gaps in the
/// heap, as buffers that grow with their bodies do.
const PIECE_BYTES: usize = 64 << 10;

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The body is longer than the limit.
    #[error("the body exceeds its limit")]
    TooLong,
    /// The body has more chunks than a body of its greatest length needs.
    #[error("the body has too many chunks")]
    TooFragmented,
    /// Other bodies hold the rest of the budget.
    #[error("the body exceeds what is left of the budget for all bodies")]
    OverBudget,
    /// The body broke off.
    #[error("the body broke off")]
    Broken,
    /// The body was not complete within the time limit.
    #[error("the body was not complete within the time limit")]
    Timeout,
}

impl Error {
    /// Whether the peer sent more than a body may have, or than there is room for.
    #[must_use]
    pub const fn is_flood(self) -> bool {
        matches!(self, Self::TooLong | Self::TooFragmented | Self::OverBudget)
    }
}

/// Result of reading a body.
pub type Result<T> = std::result::Result<T, Error>;

/// Returns the number of chunks that a body of at most `max_bytes` bytes may have.
const fn max_chunks(max_bytes: usize) -> usize {
    let needed = max_bytes / MIN_MEAN_CHUNK_BYTES;
    if needed > MIN_CHUNKS {
        needed
    } else {
        MIN_CHUNKS
    }
}

/// Returns the number of bytes that a peer may need to send a body of at most `max_bytes` bytes.
#[must_use]
pub const fn max_sent_bytes(max_bytes: usize) -> u64 {
    let beside = max_chunks(max_bytes)
        .saturating_mul(CHUNK_FRAME_BYTES)
        .saturating_add(SPARE_BYTES);
    max_bytes.saturating_add(beside) as u64
}

/// Reads a body of at most `max_bytes` bytes, which holds its share of the budget until it is dropped.
///
/// # Errors
///
/// Fails where the body breaks off, is longer, has far more chunks than it needs, or exceeds what is
/// left of the budget.
pub async fn collect<B>(mut body: B, max_bytes: usize, budget: &Budget) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let stated = body.size_hint().lower();
    if usize::try_from(stated).map_or(true, |stated| stated > max_bytes) {
        return Err(Error::TooLong);
    }
    let mut first = Bytes::new();
    // Further chunks are copied, since each would keep the buffer that it was read into.
    let mut pieces = Vec::new();
    let mut length = 0;
    let mut chunks = 0;
    let mut share = budget.share();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            // Trailers, which the HTTP library bounds.
            continue;
        };
        chunks += 1;
        length += data.len();
        if length > max_bytes {
            return Err(Error::TooLong);
        }
        if chunks > max_chunks(max_bytes) {
            return Err(Error::TooFragmented);
        }
        share.resize(length)?;
        if chunks == 1 {
            first = data;
        } else {
            append(&mut pieces, &std::mem::take(&mut first));
            append(&mut pieces, &data);
        }
    }
    let bytes = match pieces.len() {
        0 => first,
        1 => pieces.remove(0).freeze(),
        _ => pieces.concat().into(),
    };
    Ok(share.attach(bytes))
}

/// Appends bytes to the last piece and to further ones.
fn append(pieces: &mut Vec<BytesMut>, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        if pieces.last().is_none_or(|last| last.len() == PIECE_BYTES) {
            let capacity = bytes.len().min(PIECE_BYTES);
            pieces.push(BytesMut::with_capacity(capacity));
        }
        if let Some(last) = pieces.last_mut() {
            let (fitting, rest) = bytes.split_at(bytes.len().min(PIECE_BYTES - last.len()));
            last.extend_from_slice(fitting);
            bytes = rest;
        }
    }
}

/// Reads a body as [`collect`] does, within a time limit.
///
/// # Errors
///
/// As for [`collect`], and where the body is not complete in time.
pub async fn collect_within<B>(
    body: B,
    max_bytes: usize,
    budget: &Budget,
    timeout: Duration,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let collected = tokio::time::timeout(timeout, collect(body, max_bytes, budget)).await;
    collected.unwrap_or(Err(Error::Timeout))
}
