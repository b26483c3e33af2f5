//! An HTTP client of a daemon for demonstrations, experiments and tests, which can check answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use cactusglade_link::link::Connection;
use cactusglade_standin::engine;
use cactusglade_wire::caller as wire;
use cactusglade_wire::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio_util::codec::Decoder;
use tokio_util::codec::LinesCodec;

/// Timeout of one call, including the whole answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const DATA_PREFIX: &str = "data: ";
const ERROR_EVENT: &str = "event: error";
const MOVED_EVENT: &str = "event: moved";
const DONE_MARKER: &str = "[DONE]";

/// Error of a call: connecting failed, or the connection was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The connection could not be established; nothing was sent.
    #[error("the connection to the daemon could not be established")]
    Unreachable,
    /// The connection was lost, or the call exceeded its timeout.
    #[error("the connection was lost before the answer was complete, or the call timed out")]
    ConnectionLost,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// `Caller` is a client of one daemon with one organisation's API key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The daemon's address for callers.
    pub daemon: SocketAddr,
    /// API key of the organisation.
    pub key: String,
}

/// `Stream` is the answer to a streamed chat, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// HTTP status code.
    pub status: u16,
    /// Text of every token in the order of arrival.
    pub tokens: Vec<String>,
    /// Index of every token in the order of arrival.
    pub indices: Vec<u64>,
    /// Name of the model version that answered.
    pub version: String,
    /// Whether the final event was received.
    pub done: bool,
    /// Path at which the stream can be resumed through any daemon.
    pub resume: Option<String>,
    /// Whether the daemon asked the caller to resume the stream through another daemon.
    pub moved: bool,
    /// Whether the connection was lost during the stream.
    pub disconnected: bool,
    /// The error answer, if there was one.
    pub failure: Option<wire::Failure>,
    /// Time from the start of the call to the first token.
    pub first_token: Option<Duration>,
    /// Time from the start of the call to its end.
    pub took: Duration,
}

impl Stream {
    /// Returns whether this is the complete answer of a stand-in engine to a chat: every token
    /// exactly once and in order, and the final event.
    #[must_use]
    pub fn is_complete(&self, content: &str, max_tokens: u64) -> bool {
        let prompt = prompt(content);
        let total = engine::length(&prompt, max_tokens);
        let numbers = (0..total).collect::<Vec<_>>();
        let texts = numbers.iter().map(|index| engine::token(&prompt, *index));
        self.done && self.indices == numbers && texts.eq(self.tokens.iter().cloned())
    }
}

/// `Answer` is the answer of a service, or an error answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// For an error, whether the request ran: `no`, `maybe` or `yes`.
    pub ran: Option<String>,
    /// Body of the answer.
    pub body: String,
}

/// Returns the prompt that engines receive for a chat of one user turn.
#[must_use]
pub fn prompt(content: &str) -> String {
    format!("user: {content}\n")
}

impl Caller {
    /// Streams a chat of one user turn.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is unreachable, the connection is lost before the answer begins, or
    /// the call times out.
    pub async fn chat(&self, path: &str, content: &str, max_tokens: u64) -> Result<Stream> {
        let message = wire::Message {
            role: "user".to_owned(),
            content: content.to_owned(),
        };
        let chat = wire::Chat {
            messages: vec![message],
            stream: true,
            max_tokens,
        };
        let body = serde_json::to_vec(&chat).unwrap_or_default();
        let stream = self.stream("POST", path, body);
        tokio::time::timeout(CALL_TIMEOUT, stream)
            .await
            .unwrap_or(Err(Error::ConnectionLost))
    }

    /// Resumes a stream that another daemon began, and returns all tokens of both parts.
    ///
    /// # Errors
    ///
    /// Fails when the stream has no resume path, the daemon is unreachable, the connection is lost
    /// before the answer begins, or the call times out.
    pub async fn resume(&self, mut stream: Stream) -> Result<Stream> {
        let resume = stream.resume.clone().ok_or(Error::ConnectionLost)?;
        let path = format!("{resume}?from={}", stream.tokens.len());
        let rest = self.stream("GET", &path, Vec::new());
        let rest = tokio::time::timeout(CALL_TIMEOUT, rest).await;
        let rest = rest.unwrap_or(Err(Error::ConnectionLost))?;
        stream.tokens.extend(rest.tokens);
        stream.indices.extend(rest.indices);
        Ok(Stream {
            tokens: stream.tokens,
            indices: stream.indices,
            ..rest
        })
    }

    /// Sends a request to a service that is not a model.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is unreachable, the connection is lost, or the call times out.
    pub async fn call_service(
        &self,
        method: &str,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> Result<Answer> {
        let call = async {
            let body = body.as_bytes().to_vec();
            let (_connection, response) = self.send(method, path, body, idempotency_key).await?;
            let ran = response.headers().get(header::RAN);
            let ran = ran.and_then(|ran| ran.to_str().ok()).map(str::to_owned);
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| Error::ConnectionLost)?.to_bytes();
            let body = String::from_utf8_lossy(&body).into_owned();
            Ok(Answer { status, ran, body })
        };
        tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .unwrap_or(Err(Error::ConnectionLost))
    }

    async fn stream(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Stream> {
        let started = Instant::now();
        let (_connection, response) = self.send(method, path, body, None).await?;
        let header_text = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let mut stream = Stream {
            status: response.status().as_u16(),
            resume: header_text(header::RESUME)
                .or_else(|| header_text(hyper::header::LOCATION.as_str())),
            moved: response.status() == hyper::StatusCode::SEE_OTHER,
            ..Stream::default()
        };
        if stream.status != 200 {
            let body = response.into_body().collect().await;
            let body = body.map_err(|_| Error::ConnectionLost)?.to_bytes();
            stream.failure = wire::Failure::try_new(&body).ok();
            stream.took = started.elapsed();
            return Ok(stream);
        }
        let mut reader = Reader {
            stream,
            started,
            in_error_event: false,
        };
        reader.stream.disconnected = reader.read(response.into_body()).await.is_err();
        reader.stream.took = started.elapsed();
        Ok(reader.stream)
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
        idempotency_key: Option<&str>,
    ) -> Result<(Connection, Response<Incoming>)> {
        let connection = Connection::try_new(self.daemon, CALL_TIMEOUT).await;
        let mut connection = connection.map_err(|_| Error::Unreachable)?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.daemon.to_string())
            .header(hyper::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(hyper::header::CONTENT_TYPE, "application/json");
        if let Some(key) = idempotency_key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        let request = request.map_err(|_| Error::Unreachable)?;
        let response = connection.send(request).await;
        Ok((connection, response.map_err(|_| Error::ConnectionLost)?))
    }
}

struct Reader {
    stream: Stream,
    started: Instant,
    in_error_event: bool,
}

impl Reader {
    async fn read(&mut self, mut body: Incoming) -> Result<()> {
        let mut codec = LinesCodec::new();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Error::ConnectionLost)?;
            if let Ok(data) = frame.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Ok(Some(line)) = codec.decode(&mut buffer) {
                self.line(&line);
            }
        }
        Ok(())
    }

    fn line(&mut self, line: &str) {
        if line == ERROR_EVENT {
            self.in_error_event = true;
        } else if line == MOVED_EVENT {
            self.stream.moved = true;
        } else if let Some(data) = line.strip_prefix(DATA_PREFIX) {
            self.event(data);
        }
    }

    fn event(&mut self, data: &str) {
        if self.in_error_event {
            self.stream.failure = wire::Failure::try_new(data.as_bytes()).ok();
        } else if data == DONE_MARKER {
            self.stream.done = true;
        } else if let Ok(chunk) = serde_json::from_str::<wire::Chunk>(data) {
            self.chunk(chunk);
        }
    }

    fn chunk(&mut self, chunk: wire::Chunk) {
        self.stream.version = chunk.model;
        let text = chunk
            .choices
            .into_iter()
            .find_map(|choice| choice.delta.content);
        if let (Some(index), Some(text)) = (chunk.token_index, text) {
            self.stream
                .first_token
                .get_or_insert_with(|| self.started.elapsed());
            self.stream.indices.push(index);
            self.stream.tokens.push(text);
        }
    }
}
