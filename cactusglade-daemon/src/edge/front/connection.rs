//! Task that serves one connection of a caller.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::catalog::Limits;
use cactusglade_core::units::Millis;
use cactusglade_link::body;
use cactusglade_link::link;
use cactusglade_link::link::meter;
use cactusglade_wire::port;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::context::Context;
use super::context::Phase;
use super::request;

/// Time added to the callers' idle timeout before an idle connection is closed, so that a caller
/// that respects the timeout never sends a request on a connection that is being closed.
const IDLE_TIMEOUT_MARGIN: Millis = Millis(2_000);
/// Time within which a connection that was accepted while the daemon closes must send its request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Smallest buffer for a request head that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Serves one connection until either side ends it.
pub async fn serve<F: port::Codec>(socket: TcpStream, context: Arc<Context<F>>) {
    // Where the options can't be set, the connection is broken and the first read fails.
    let _ = link::set_keepalive(&socket);
    let limits = context.catalogs.borrow().limits;
    let mut phase = context.phase.clone();
    let (has_request, mut requests) = watch::channel(false);
    let (meter, mut control) = meter::new(socket, allowance(&limits));
    let allowances = control.clone();
    let service = service_fn(move |request| {
        has_request.send_replace(true);
        allowances.allow(allowance(&context.catalogs.borrow().limits));
        let context = context.clone();
        async move { Ok::<_, Infallible>(request::handle(context, request).await) }
    });
    // The timer for a request head also runs while the connection is idle, so it gets the
    // longer of the two bounds.
    let idle = Duration::from_millis((limits.idle_timeout + IDLE_TIMEOUT_MARGIN).0);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES));
    let connection = builder.serve_connection(TokioIo::new(meter), service);
    let mut connection = pin!(connection);
    tokio::select! {
        // The caller notices a broken connection itself; its requests end with the connection.
        _ = connection.as_mut() => return,
        () = control.exhausted() => return,
        _ = phase.wait_for(|phase| *phase >= Phase::Closing) => {}
    }
    // A caller that has just connected may have sent a request already; it gets an answer, which
    // closes the connection. A connection that has carried a request is closed while it is idle.
    let first_request = requests.wait_for(|has_request| *has_request);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = tokio::time::timeout(FIRST_REQUEST_TIMEOUT, first_request) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Returns the number of bytes that a caller may send for one request, up to the head of the next one.
fn allowance(limits: &Limits) -> u64 {
    let body_bytes = limits.body_bytes.max(request::MAX_DISCARDED_BYTES);
    let head_bytes = limits.header_bytes.max(MIN_BUFFER_BYTES);
    body::max_sent_bytes(body_bytes.saturating_add(head_bytes))
}
