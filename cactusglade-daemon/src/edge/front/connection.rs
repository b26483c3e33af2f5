//! The task of one caller's connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::units::Millis;
use cactusglade_link::link;
use cactusglade_wire::port;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use super::context::Context;
use super::context::Phase;
use super::request;

/// Time beyond the callers' idle bound after which an idle connection is closed, so that a caller
/// that keeps to the bound never meets a closing one.
const SLACK: Millis = Millis(2_000);
/// Least buffer for a head that hyper accepts.
const LEAST_BUFFER: usize = 8_192;

/// Serves one connection until either side ends it.
pub async fn serve<F: port::Codec>(socket: TcpStream, context: Arc<Context<F>>) {
    // A socket that takes no options is about to fail by itself.
    let _ = link::set_keepalive(&socket);
    let limits = context.catalogs.borrow().limits;
    let mut phase = context.phase.clone();
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { Ok::<_, Infallible>(request::handle(context, request).await) }
    });
    // The timer for a head also runs while the connection is idle, so it has the longer bound.
    let idle = Duration::from_millis((limits.idle_timeout + SLACK).0);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER));
    let mut served = pin!(builder.serve_connection(TokioIo::new(socket), service));
    tokio::select! {
        // A connection that breaks is the caller's to notice; its requests end with it.
        _ = served.as_mut() => return,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {}
    }
    served.as_mut().graceful_shutdown();
    let _ = served.await;
}
