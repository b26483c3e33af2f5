//! Accepts callers and serves each on a task of its own.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::errors::Kind;
use futures::FutureExt;
use http_body_util::Either;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::gate::answer;
use crate::gate::context::Context;
use crate::gate::entry;
use crate::gate::request;

/// Connections beyond the limit that are still told why they are not served.
const MAX_REJECTING: usize = 64;
/// Pause after a failure to accept, which is most often a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the channel closes, then waits for the connections to end.
pub async fn listen(
    listener: TcpListener,
    context: Arc<Context>,
    mut closing: watch::Receiver<()>,
    end: mpsc::Sender<Infallible>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = closing.changed() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let over = connections.len() >= context.limits.connections;
                    if connections.len() < context.limits.connections + MAX_REJECTING {
                        connections.spawn(serve(socket, context.clone(), closing.clone(), over));
                    }
                }
                Err(error) => {
                    warn!(context.log, "accept_failed"; "reason" => %error);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
        context
            .metrics
            .connections
            .set(i64::try_from(connections.len()).unwrap_or(i64::MAX));
    }
    // Callers who have connected already are served; the next ones find nobody.
    while let Some(Ok((socket, _))) = listener.accept().now_or_never() {
        connections.spawn(serve(socket, context.clone(), closing.clone(), false));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    drop(end);
}

async fn serve(
    socket: TcpStream,
    context: Arc<Context>,
    mut closing: watch::Receiver<()>,
    over: bool,
) {
    // Without it only the delay of small packets grows.
    let _ = socket.set_nodelay(true);
    let limits = context.limits;
    let draining = context.draining.clone();
    let service = service_fn(move |request| {
        let context = context.clone();
        let draining = draining.clone();
        async move {
            let response = if over {
                let id = entry::id(&context.daemon);
                let message = "too many connections";
                let response = answer::failure(Kind::Overloaded, message, &id);
                answer::closing(response).map(Either::Left)
            } else {
                request::handle(context, request).await
            };
            // Callers that keep their connections are asked to go elsewhere.
            let leaving = *draining.borrow();
            Ok::<_, Infallible>(if leaving {
                answer::closing(response)
            } else {
                response
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout.0))
        .max_buf_size(limits.header_bytes);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    let drained = tokio::select! {
        // A connection that breaks is the caller's to notice.
        _ = connection.as_mut() => false,
        _ = closing.changed() => true,
    };
    if drained {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
