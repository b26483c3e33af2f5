//! Accepts connections from callers and serves each one in its own task.

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
use crate::gate::inbound;
use crate::gate::request;

/// Connections above the limit that are still accepted, to get an `overloaded` response.
const MAX_REJECTED_CONNECTIONS: usize = 64;
/// Delay after a failed `accept`, which is most often caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `shutdown` closes, then waits until all of them have ended.
///
/// Dropping `done` reports that the last connection has ended.
pub async fn listen(
    listener: TcpListener,
    context: Arc<Context>,
    mut shutdown: watch::Receiver<()>,
    done: mpsc::Sender<Infallible>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = shutdown.changed() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let over_limit = connections.len() >= context.limits.connections;
                    if connections.len() < context.limits.connections + MAX_REJECTED_CONNECTIONS {
                        connections.spawn(serve(
                            socket,
                            context.clone(),
                            shutdown.clone(),
                            over_limit
                        ));
                    }
                }
                Err(error) => {
                    warn!(context.log, "accept_failed"; "reason" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
        context
            .metrics
            .connections
            .set(i64::try_from(connections.len()).unwrap_or(i64::MAX));
    }
    // Connections already in the listen backlog are served; later ones are refused.
    while let Some(Ok((socket, _))) = listener.accept().now_or_never() {
        connections.spawn(serve(socket, context.clone(), shutdown.clone(), false));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    drop(done);
}

async fn serve(
    socket: TcpStream,
    context: Arc<Context>,
    mut shutdown: watch::Receiver<()>,
    over_limit: bool,
) {
    // On failure small packets are only delayed (Nagle's algorithm).
    let _ = socket.set_nodelay(true);
    let limits = context.limits;
    let draining = context.draining.clone();
    let service = service_fn(move |request| {
        let context = context.clone();
        let draining = draining.clone();
        async move {
            let response = if over_limit {
                let id = inbound::generate_id(&context.daemon);
                let message = "too many connections";
                let response = answer::failure(Kind::Overloaded, message, &id);
                answer::close_connection(response).map(Either::Left)
            } else {
                request::handle(context, request).await
            };
            // While draining, callers are asked to close their persistent connections.
            let is_draining = *draining.borrow();
            Ok::<_, Infallible>(if is_draining {
                answer::close_connection(response)
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
    let must_drain = tokio::select! {
        // Connection errors are ignored, since the caller observes them too.
        _ = connection.as_mut() => false,
        _ = shutdown.changed() => true,
    };
    if must_drain {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
