//! Connections to other systems over HTTP, each owned by one task.

pub mod meter;

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

/// Error of a connection, by what it says about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent, so that it did not run.
    #[error("the request was not sent")]
    NotSent,
    /// The connection was lost after the request may have been sent.
    #[error("the connection was lost")]
    Lost,
    /// The peer sent more than an answer may have; the request may have run.
    #[error("the answer exceeds the bounds on what a peer may send")]
    Flooded,
    /// No answer arrived within the time limit; the request may have run.
    #[error("no answer arrived within the time limit")]
    Timeout,
}

/// Result of a connection.
pub type Result<T> = std::result::Result<T, Error>;

/// Time after which a peer that acknowledges no data is considered lost; well below the 3 s for
/// which callers wait for the next event of a stream.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval of the probes on an idle connection; the system has a resolution of one second.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which an idle connection is considered lost.
const KEEPALIVE_RETRIES: u32 = 2;

/// Maximum number of bytes before the body of an answer: its interim heads and its final one.
const MAX_HEAD_BYTES: u64 = 32 << 10;
/// Largest read buffer of a connection in bytes. It bounds what a connection holds, and the work that
/// is done for what its peer sends before other tasks run.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Disables Nagle's algorithm and sets the options by which the system detects a lost peer.
///
/// # Errors
///
/// Returns the system's error if an option can't be set.
pub fn set_keepalive(socket: &TcpStream) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// `Connection` sends requests over one socket, one at a time.
///
/// A task owns the socket. Dropping the connection ends the task and resets the socket, so that no
/// part of an abandoned request is delivered later, for example when a broken network recovers.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    control: meter::Control,
    _task: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects within a time limit; the caller must limit the time for each answer itself.
    ///
    /// The system does not detect a lost peer on this connection. When the system gives up a
    /// connection, data that the network has queued can still arrive, and it is too late to discard
    /// it by closing the connection; data of a connection that the sender drops itself is
    /// discarded.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the connection is refused or not made within the time limit.
    pub async fn try_new(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Self::connect(address, timeout, |socket| socket.set_nodelay(true)).await
    }

    /// Connects as [`try_new`](Self::try_new) does, but lets the system detect a lost peer, for
    /// calls that wait long for their answer.
    ///
    /// # Errors
    ///
    /// As for [`try_new`](Self::try_new).
    pub async fn with_keepalive(address: SocketAddr, timeout: Duration) -> Result<Self> {
        Self::connect(address, timeout, set_keepalive).await
    }

    async fn connect(
        address: SocketAddr,
        timeout: Duration,
        set_options: fn(&TcpStream) -> std::io::Result<()>,
    ) -> Result<Self> {
        let connect = async {
            let socket = TcpStream::connect(address)
                .await
                .map_err(|_| Error::NotSent)?;
            set_options(&socket).map_err(|_| Error::NotSent)?;
            // With a linger time of zero, closing the socket resets it and discards undelivered
            // data.
            let linger = SockRef::from(&socket).set_linger(Some(Duration::ZERO));
            linger.map_err(|_| Error::NotSent)?;
            let (meter, control) = meter::new(socket, MAX_HEAD_BYTES);
            let io = TokioIo::new(meter);
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_BUFFER_BYTES);
            let (sender, task) = builder.handshake(io).await.map_err(|_| Error::NotSent)?;
            // The error of the task is also returned to the request that waits for an answer.
            let task = tokio::spawn(async move { drop(task.await) });
            Ok(Self {
                sender,
                control,
                _task: AbortOnDropHandle::new(task),
            })
        };
        tokio::time::timeout(timeout, connect)
            .await
            .unwrap_or(Err(Error::NotSent))
    }

    /// Whether another request can be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request as [`send_until`](Self::send_until) does, without a time limit.
    ///
    /// # Errors
    ///
    /// As for [`send_until`](Self::send_until).
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.send_until(request, None).await
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// From `until` on, counted from the start of the host, no byte of it is sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] only if no byte of the request can have been sent, and
    /// [`Error::Flooded`] if the connection must be dropped since its peer sends heads without end.
    pub async fn send_until(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Option<Duration>,
    ) -> Result<Response<Incoming>> {
        if self.sender.ready().await.is_err() {
            return Err(Error::NotSent);
        }
        self.control.reset();
        self.control.allow(MAX_HEAD_BYTES);
        self.control.expire(until);
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = self.control.exhausted() => return Err(Error::Flooded),
        };
        let response = sent.map_err(|error| {
            if error.message().is_some() {
                Error::NotSent
            } else {
                Error::Lost
            }
        })?;
        // Whoever reads the body limits it.
        self.control.allow(u64::MAX);
        Ok(response)
    }
}
