//! Accepts connections and owns their tasks until a channel closes.

use std::future::Future;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// Serves each connection in a task of its own, at most so many at once.
///
/// The tasks end with the loop, which ends when the sender of `stopped` is dropped.
pub async fn run<S, R>(
    listener: TcpListener,
    most: usize,
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
                    && connections.len() < most
                {
                    connections.spawn(serve(socket));
                }
            }
        }
    }
}
