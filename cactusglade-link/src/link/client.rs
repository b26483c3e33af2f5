//! An HTTP client for short calls to one address, with a task that owns its idle connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::body;
use crate::body::Budget;
use crate::link::Connection;
use crate::link::Error;
use crate::link::Result;

const MAILBOX_CAPACITY: usize = 64;
const MAX_IDLE: usize = 8;
/// Longest answer in bytes: several times what the rows of the largest fleet have.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Bytes that the answers to all calls of a client hold together.
const MAX_HELD_BYTES: usize = 24 << 20;

/// `Answer` is the answer to a call, with its whole body.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

enum Message {
    Acquire(oneshot::Sender<Option<Connection>>),
    Release(Connection),
}

/// `Client` calls one address; clones share the idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    idle: mpsc::Sender<Message>,
    answers: Budget,
}

impl Client {
    /// Makes a client whose calls time out after `timeout`.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let (idle, mailbox) = mpsc::channel(MAILBOX_CAPACITY);
        tokio::spawn(pool(mailbox));
        Self {
            address,
            timeout,
            idle,
            answers: Budget::new(MAX_HELD_BYTES),
        }
    }

    /// Returns the address that the client calls.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`], whose variant says whether the request may have run.
    pub async fn call(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Result<Answer> {
        self.call_with_timeout(method, path, body, None).await
    }

    /// Calls as [`call`](Self::call) does, with another time-out if one is given.
    ///
    /// # Errors
    ///
    /// As for [`call`](Self::call).
    pub async fn call_with_timeout(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
        timeout: Option<Duration>,
    ) -> Result<Answer> {
        let request = self.request(method, path, body.into())?;
        let timeout = timeout.unwrap_or(self.timeout);
        let call = tokio::time::timeout(timeout, self.send(request, None));
        call.await.unwrap_or(Err(Error::Timeout))
    }

    /// Calls as [`call`](Self::call) does, with further headers, and sends nothing from `until` on, which
    /// counts from the start of the host as [`uptime`](crate::clock::uptime) does.
    ///
    /// # Errors
    ///
    /// As for [`call`](Self::call).
    pub async fn call_until(
        &self,
        method: &str,
        path: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
        until: Duration,
    ) -> Result<Answer> {
        let mut request = self.request(method, path, body.into())?;
        request.headers_mut().extend(headers);
        let call = tokio::time::timeout(self.timeout, self.send(request, Some(until)));
        call.await.unwrap_or(Err(Error::Timeout))
    }

    fn request(&self, method: &str, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| Error::NotSent)
    }

    async fn send(&self, request: Request<Full<Bytes>>, until: Option<Duration>) -> Result<Answer> {
        let mut connection = match self.acquire().await {
            Some(connection) => connection,
            None => Connection::with_keepalive(self.address, self.timeout).await?,
        };
        let response = connection.send_until(request, until).await?;
        let (head, body) = response.into_parts();
        let body = body::collect(body, MAX_ANSWER_BYTES, &self.answers).await;
        let body = body.map_err(|error| {
            if error.is_flood() {
                Error::Flooded
            } else {
                Error::Lost
            }
        })?;
        // Fails only once the pool task has ended, when the connection can't be reused.
        let _ = self.idle.send(Message::Release(connection)).await;
        Ok(Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    async fn acquire(&self) -> Option<Connection> {
        let (reply, answer) = oneshot::channel();
        self.idle.send(Message::Acquire(reply)).await.ok()?;
        answer.await.ok().flatten()
    }
}

async fn pool(mut mailbox: mpsc::Receiver<Message>) {
    let mut idle: Vec<Connection> = Vec::new();
    while let Some(message) = mailbox.recv().await {
        match message {
            Message::Release(connection) if idle.len() < MAX_IDLE => idle.push(connection),
            Message::Release(_) => {}
            Message::Acquire(reply) => {
                idle.retain(Connection::is_open);
                // Fails if the call has timed out; the connection is then dropped.
                let _ = reply.send(idle.pop());
            }
        }
    }
}
