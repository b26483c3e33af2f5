//! A client for short calls to one address, with a task that keeps its idle connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::link::Connection;
use crate::link::Error;
use crate::link::Result;

const MAILBOX: usize = 64;
const MAX_IDLE: usize = 8;
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// `Answer` to a call, with its body read.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body.
    pub body: Bytes,
}

enum Message {
    Take(oneshot::Sender<Option<Connection>>),
    Give(Connection),
}

/// `Client` calls one address; its clones share the idle connections.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    within: Duration,
    idle: mpsc::Sender<Message>,
}

impl Client {
    /// Makes a client whose calls take at most `within`.
    #[must_use]
    pub fn new(address: SocketAddr, within: Duration) -> Self {
        let (idle, mailbox) = mpsc::channel(MAILBOX);
        tokio::spawn(keep(mailbox));
        Self {
            address,
            within,
            idle,
        }
    }

    /// The address that is called.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns what the failure proves about the call; see [`Error`].
    pub async fn call(&self, method: &str, path: &str, body: impl Into<Bytes>) -> Result<Answer> {
        self.call_with_timeout(method, path, body, None).await
    }

    /// Calls as [`call`](Self::call) does, with another time-out where one is given.
    ///
    /// # Errors
    ///
    /// As for [`call`](Self::call).
    pub async fn call_with_timeout(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
        within: Option<Duration>,
    ) -> Result<Answer> {
        let request = self.request(method, path, body.into())?;
        let within = within.unwrap_or(self.within);
        let call = tokio::time::timeout(within, self.send(request));
        call.await.unwrap_or(Err(Error::Timeout))
    }

    /// Calls as [`call`](Self::call) does, with further headers.
    ///
    /// # Errors
    ///
    /// As for [`call`](Self::call).
    pub async fn call_with_headers(
        &self,
        method: &str,
        path: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Result<Answer> {
        let mut request = self.request(method, path, body.into())?;
        request.headers_mut().extend(headers);
        let call = tokio::time::timeout(self.within, self.send(request));
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

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer> {
        let mut connection = match self.take().await {
            Some(connection) => connection,
            None => Connection::with_keepalive(self.address, self.within).await?,
        };
        let response = connection.send(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(|_| Error::Lost)?.to_bytes();
        // The keeper ends only when every client has gone.
        let _ = self.idle.send(Message::Give(connection)).await;
        Ok(Answer { status, body })
    }

    async fn take(&self) -> Option<Connection> {
        let (reply, answer) = oneshot::channel();
        self.idle.send(Message::Take(reply)).await.ok()?;
        answer.await.ok().flatten()
    }
}

async fn keep(mut mailbox: mpsc::Receiver<Message>) {
    let mut idle: Vec<Connection> = Vec::new();
    while let Some(message) = mailbox.recv().await {
        match message {
            Message::Give(connection) if idle.len() < MAX_IDLE => idle.push(connection),
            Message::Give(_) => {}
            Message::Take(reply) => {
                idle.retain(Connection::is_open);
                // A caller that ran out of time no longer wants it.
                let _ = reply.send(idle.pop());
            }
        }
    }
}
