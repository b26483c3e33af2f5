//! Bounds on what a peer may send at a time, and on the work for it before other tasks run.
//!
//! The HTTP library reads and parses as long as bytes are there: interim heads, empty lines, lengths
//! of chunks. Some of these take longer to parse than to receive, so that a peer which sends them
//! without end would take all of the daemon's time. See `docs/incidents/interim-heads.md`.

use std::io::Result;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::io::Take;
use tokio::sync::mpsc;
use tokio::sync::watch;

/// Number of bytes after which a connection lets other tasks run, although more are there.
const MAX_BURST_BYTES: u64 = 256 << 10;

/// `Meter` is a socket that stops reading once the peer has used up its allowance.
#[derive(Debug)]
pub struct Meter<S> {
    /// Socket with the rest of the allowance.
    socket: Take<S>,
    allowances: mpsc::UnboundedReceiver<u64>,
    exhausted: watch::Sender<()>,
    /// Bytes read since other tasks last ran.
    burst: u64,
}

/// `Control` sets the allowance of a [`Meter`].
#[derive(Clone, Debug)]
pub struct Control {
    allowances: mpsc::UnboundedSender<u64>,
    exhausted: watch::Receiver<()>,
}

/// Wraps a socket; the peer may send this number of bytes.
pub fn new<S: AsyncRead>(socket: S, allowance: u64) -> (Meter<S>, Control) {
    let (sender, allowances) = mpsc::unbounded_channel();
    let (exhausted, receiver) = watch::channel(());
    let meter = Meter {
        socket: socket.take(allowance),
        allowances,
        exhausted,
        burst: 0,
    };
    let control = Control {
        allowances: sender,
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
        let _ = self.allowances.send(bytes);
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
    /// Waits until the peer may send more.
    fn poll_allowance(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while let Ok(bytes) = self.allowances.try_recv() {
            self.socket.set_limit(bytes);
        }
        while self.socket.limit() == 0 {
            self.exhausted.send_replace(());
            match ready!(self.allowances.poll_recv(context)) {
                Some(bytes) => self.socket.set_limit(bytes),
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
        Pin::new(self.socket.get_mut()).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.get_ref().is_write_vectored()
    }
}
