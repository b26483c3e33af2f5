//! A bound on the bytes that a peer may send before the final head of its answer.
//!
//! HTTP lets a peer send any number of interim heads first, and a client has to parse each of them.
//! Parsing short headers takes longer than receiving them, so that a peer which sends interim heads
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

/// Maximum number of bytes before the body of an answer: its interim heads and its final one.
const MAX_HEAD_BYTES: u64 = 32 << 10;

/// `Allowance` is how much the peer may send from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Allowance {
    /// An answer is expected, whose heads have a bound.
    Head,
    /// The final head has arrived; whoever reads the body limits it.
    Body,
}

/// `Meter` is a socket that stops reading once the peer has used up its allowance.
#[derive(Debug)]
pub struct Meter<S> {
    socket: Take<S>,
    allowances: mpsc::UnboundedReceiver<Allowance>,
    exhausted: watch::Sender<()>,
}

/// `Control` sets the allowance of a [`Meter`].
#[derive(Debug)]
pub struct Control {
    allowances: mpsc::UnboundedSender<Allowance>,
    exhausted: watch::Receiver<()>,
}

/// Wraps a socket; the peer may send the heads of one answer.
pub fn new<S: AsyncRead>(socket: S) -> (Meter<S>, Control) {
    let (sender, allowances) = mpsc::unbounded_channel();
    let (exhausted, receiver) = watch::channel(());
    let meter = Meter {
        socket: socket.take(MAX_HEAD_BYTES),
        allowances,
        exhausted,
    };
    let control = Control {
        allowances: sender,
        exhausted: receiver,
    };
    (meter, control)
}

impl Control {
    /// Allows the heads of one answer.
    pub fn expect_head(&mut self) {
        self.exhausted.mark_unchanged();
        // Fails only after the connection has ended, which the request notices.
        let _ = self.allowances.send(Allowance::Head);
    }

    /// Allows the body of the answer whose final head has arrived.
    pub fn expect_body(&self) {
        // As above.
        let _ = self.allowances.send(Allowance::Body);
    }

    /// Waits until the peer has sent more than the heads of an answer may have.
    pub async fn exhausted(&mut self) {
        if self.exhausted.changed().await.is_err() {
            // The connection has ended, which the request notices.
            std::future::pending::<()>().await;
        }
    }
}

impl<S: AsyncRead> Meter<S> {
    fn set(&mut self, allowance: Allowance) {
        self.socket.set_limit(match allowance {
            Allowance::Head => MAX_HEAD_BYTES,
            Allowance::Body => u64::MAX,
        });
    }

    /// Waits until the peer may send more.
    fn poll_allowance(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while let Ok(allowance) = self.allowances.try_recv() {
            self.set(allowance);
        }
        while self.socket.limit() == 0 {
            self.exhausted.send_replace(());
            match ready!(self.allowances.poll_recv(context)) {
                Some(allowance) => self.set(allowance),
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
        Pin::new(&mut self.socket).poll_read(context, buffer)
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
