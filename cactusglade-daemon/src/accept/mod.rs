//! Accepts connections and runs a task for each until a stop channel closes.

use std::future::Future;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// Longest head of a request in bytes, for servers whose requests have no body and few headers.
pub const MAX_HEAD_BYTES: usize = 16 << 10;

/// Runs `serve` for each accepted connection in a task of its own.
///
/// A connection accepted while `max_connections` are open is closed at once. Returns when the
/// sender of `stopped` is dropped, and aborts the tasks of the open connections.
pub async fn run<S, R>(
    listener: TcpListener,
    max_connections: usize,
    mut stopped: oneshot::Receiver<()>,
    serve: S,
) where
    S: Fn(TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted
                    && connections.len() < max_connections
                {
                    connections.spawn(serve(socket));
                }
            }
        }
    }
}
