//! Reads the events of an engine's response body, one JSON object a line.

use std::time::Duration;

use bytes::BytesMut;
use cactusglade_wire::engine;
use cactusglade_wire::engine::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::Decoder;
use tokio_util::codec::LinesCodec;

/// Timeout for the end of the body after its last event.
const BODY_END_TIMEOUT: Duration = Duration::from_millis(100);

/// `Lines` decodes a response body and buffers the bytes that are not yet decoded.
pub struct Lines {
    body: Incoming,
    codec: LinesCodec,
    buffer: BytesMut,
}

impl Lines {
    /// Wraps the body of an engine's response.
    pub fn new(body: Incoming) -> Self {
        let codec = LinesCodec::new_with_max_length(engine::MAX_LINE_BYTES);
        Self {
            body,
            codec,
            buffer: BytesMut::new(),
        }
    }

    /// Reads the next event; `None` if the body ends, fails or can't be decoded.
    ///
    /// Cancel-safe: the bytes read so far stay in the buffer.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(line) = self.codec.decode(&mut self.buffer).ok()? {
                return engine::decode(&line).ok();
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Reads the end of the body after its last event; returns whether the connection is reusable.
    pub async fn read_end(&mut self) -> bool {
        let end = tokio::time::timeout(BODY_END_TIMEOUT, self.body.frame()).await;
        self.buffer.is_empty() && matches!(end, Ok(None))
    }
}
