//! Reads the events of an engine's answer one by one.

use std::time::Duration;

use bytes::BytesMut;
use cactusglade_wire::engine;
use cactusglade_wire::engine::Event;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::Decoder;
use tokio_util::codec::LinesCodec;

/// Longest wait for the end of a body after its last event.
const END: Duration = Duration::from_millis(100);

/// `Lines` holds what of an answer has come and was not taken yet.
pub struct Lines {
    body: Incoming,
    codec: LinesCodec,
    buffer: BytesMut,
}

impl Lines {
    /// Starts on the body of an answer.
    pub fn new(body: Incoming) -> Self {
        let codec = LinesCodec::new_with_max_length(engine::MAX_LINE_BYTES);
        Self {
            body,
            codec,
            buffer: BytesMut::new(),
        }
    }

    /// The next event, nothing where the answer ends or can't be read.
    ///
    /// It may be dropped while it waits; what was read so far is kept.
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

    /// Reads the end of a body after its last event, so that the connection can be used again.
    pub async fn ends(&mut self) -> bool {
        let end = tokio::time::timeout(END, self.body.frame()).await;
        self.buffer.is_empty() && matches!(end, Ok(None))
    }
}
