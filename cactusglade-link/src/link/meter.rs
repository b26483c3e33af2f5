//! Bounds on what a peer may send at a time, on the work for it before other tasks run, and on the time
//! until which a request may be sent.
//!
//! The HTTP library reads and parses as long as bytes are there: interim heads, empty lines, lengths
//! of chunks. Some of these take longer to parse than to receive, so that a peer which sends them
//! without end would take all of the daemon's time. See `docs/incidents/interim-heads.md`.
//!
//! Whoever sends a request hands it to the task of the connection, which runs when the event loop gets
//! to it. Only the socket knows that the time is not over yet. See `docs/incidents/late-calls.md`.

use std::io::ErrorKind;
use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::clock;

/// Number of bytes after which a connection lets other tasks run, although more are there.
const MAX_BURST_BYTES: u64 = 256 << 10;

/// `Order` is what a [`Control`] has its [`Meter`] do.
#[derive(Clone, Copy, Debug)]
enum Order {
    /// Let the peer send this number of bytes.
    Allow(u64),
    /// Write nothing from this time on, counted from the start of the host.
    Expire(Option<Duration>),
}

/// `Meter` is a socket that stops reading once the peer has used up its allowance, and writing once the
/// time limit of a request is over.
#[derive(Debug)]
pub struct Meter<S> {
    /// Socket with the rest of the allowance.
    socket: Take<S>,
    orders: mpsc::UnboundedReceiver<Order>,
    exhausted: watch::Sender<()>,
    /// Bytes read since other tasks last ran.
    burst: u64,
    /// Time since the start of the host from which nothing is written.
    expiry: Option<Duration>,
}

/// `Control` sets the allowance and the time limit of a [`Meter`].
#[derive(Clone, Debug)]
pub struct Control {
    orders: mpsc::UnboundedSender<Order>,
    exhausted: watch::Receiver<()>,
}

/// Wraps a socket; the peer may send this number of bytes.
pub fn new<S: AsyncRead>(socket: S, allowance: u64) -> (Meter<S>, Control) {
    let (sender, orders) = mpsc::unbounded_channel();
    let (exhausted, receiver) = watch::channel(());
    let meter = Meter {
        socket: socket.take(allowance),
        orders,
        exhausted,
        burst: 0,
        expiry: None,
    };
    let control = Control {
        orders: sender,
        exhausted: receiver,
    };
    (meter, control)
}

impl Control {
    /// Forgets that an earlier allowance was used up, which the peer was allowed to exceed since.
    pub fn reset(&mut self) {
        self.exhausted.mark_unchanged();
    }

    /// Allows the peer to send this number of bytes from now on.
    pub fn allow(&self, bytes: u64) {
        // Fails only after the connection has ended, which its owner notices.
        let _ = self.orders.send(Order::Allow(bytes));
    }

    /// Has nothing written from a time on, counted from the start of the host; `None` sets no limit.
    pub fn expire(&self, at: Option<Duration>) {
        // As above.
        let _ = self.orders.send(Order::Expire(at));
    }

    /// Waits until the peer has used up its allowance.
    pub async fn exhausted(&mut self) {
        if self.exhausted.changed().await.is_err() {
            // The connection has ended, which its owner notices.
            std::future::pending::<()>().await;
        }
    }
}

impl<S: AsyncRead> Meter<S> {
    fn apply(&mut self, order: Order) {
        match order {
            Order::Allow(bytes) => self.socket.set_limit(bytes),
            Order::Expire(at) => self.expiry = at,
        }
    }

    fn apply_all(&mut self) {
        while let Ok(order) = self.orders.try_recv() {
            self.apply(order);
        }
    }

    /// Returns an error once the time limit is over.
    fn check_expiry(&mut self) -> Result<()> {
        self.apply_all();
        if self.expiry.is_some_and(|expiry| clock::uptime() >= expiry) {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// Waits until the peer may send more.
    fn poll_allowance(&mut self, context: &mut Context<'_>) -> Poll<()> {
        self.apply_all();
        while self.socket.limit() == 0 {
            self.exhausted.send_replace(());
            match ready!(self.orders.poll_recv(context)) {
                Some(order) => self.apply(order),
                // The connection is being dropped, and with it this socket.
                None => return Poll::Pending,
            }
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Meter<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        ready!(self.poll_allowance(context));
        if self.burst >= MAX_BURST_BYTES {
            self.burst = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = self.socket.limit();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        match read {
            // Other tasks run while this one waits.
            Poll::Pending => self.burst = 0,
            Poll::Ready(_) => self.burst += before - self.socket.limit(),
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Meter<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.check_expiry()?;
        Pin::new(self.socket.get_mut()).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(self.socket.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(self.socket.get_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.check_expiry()?;
        Pin::new(self.socket.get_mut()).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.get_ref().is_write_vectored()
    }
}
