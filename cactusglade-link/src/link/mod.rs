//! Connections to other systems over HTTP, each owned by one task.

mod client;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

pub use client::Answer;
pub use client::Client;

/// Error of a connection, by what it proves about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No byte of the request left; it did not run.
    #[error("the request was not sent")]
    NotSent,
    /// The connection was lost after the request may have left.
    #[error("the connection was lost")]
    Lost,
    /// No answer came in time.
    #[error("no answer came in time")]
    Timeout,
}

/// Result of a connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Time after which a peer that acknowledges nothing is taken as gone; well under the three seconds
/// that callers allow a silent stream.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two probes of an idle connection, which the system counts in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which an idle connection is taken as gone.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sets the socket options by which the system detects a peer that no longer answers.
///
/// # Errors
///
/// Returns the system's error when an option can't be set.
pub fn set_keepalive(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// `Connection` sends requests over one socket, one at a time.
///
/// The socket belongs to a task. Dropping the connection ends the task and resets the socket, so
/// that nothing of a request that was given up is delivered later, as it would be after a cut.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects within a time; whoever waits for answers bounds the time for them.
    ///
    /// The system is not asked to find out a silent peer. What is queued on a connection that the
    /// system gives up can still arrive where the network holds it, and closing it then is too late
    /// to discard it; what the sender gives up itself is discarded.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] where nobody listens or the time is over.
    pub async fn try_new(address: SocketAddr, within: Duration) -> Result<Self> {
        Self::connect(address, within, |socket| socket.set_nodelay(true)).await
    }

    /// Connects as [`try_new`](Self::try_new) does and lets the system detect a peer that no longer
    /// answers, for calls that wait long for their answer.
    ///
    /// # Errors
    ///
    /// As for [`try_new`](Self::try_new).
    pub async fn with_keepalive(address: SocketAddr, within: Duration) -> Result<Self> {
        Self::connect(address, within, set_keepalive).await
    }

    async fn connect(
        address: SocketAddr,
        within: Duration,
        prepare: fn(&TcpStream) -> std::io::Result<()>,
    ) -> Result<Self> {
        let connect = async {
            let socket = TcpStream::connect(address)
                .await
                .map_err(|_| Error::NotSent)?;
            prepare(&socket).map_err(|_| Error::NotSent)?;
            // Closing discards what was not delivered.
            let linger = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            linger.map_err(|_| Error::NotSent)?;
            let io = TokioIo::new(socket);
            let (sender, task) = http1::handshake(io).await.map_err(|_| Error::NotSent)?;
            // The task's own error reaches whoever waits for an answer.
            let task = tokio::spawn(async move { drop(task.await) });
            Ok(Self {
                sender,
                _task: AbortOnDropHandle::new(task),
            })
        };
        tokio::time::timeout(within, connect)
            .await
            .unwrap_or(Err(Error::NotSent))
    }

    /// Whether another request can be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] only where no byte of the request can have left.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        if self.sender.ready().await.is_err() {
            return Err(Error::NotSent);
        }
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|error| {
            if error.message().is_some() {
                Error::NotSent
            } else {
                Error::Lost
            }
        })
    }
}
