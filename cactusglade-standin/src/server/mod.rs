//! HTTP server that all stand-ins use.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

/// `Cut` is the error with which a handler has its connection cut instead of answering.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the stand-in has cut the connection")]
pub struct Cut;

/// `Result` is the result of a handler.
pub type Result<T> = std::result::Result<T, Cut>;

/// `Frames` is the receiving end of a streamed body; an error in it cuts the connection.
pub type Frames = mpsc::Receiver<Result<Bytes>>;

/// `Body` is the body of an answer, sent in one piece or streamed.
pub type Body = Either<Full<Bytes>, StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>>>>>;

/// `Call` is a request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers of the request.
    pub headers: hyper::HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
}

impl Call {
    /// Returns a header's value if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    }
}

/// `Standin` is a running stand-in; dropping it stops its server and cuts its connections.
#[derive(Debug)]
pub struct Standin {
    /// Address that it listens on.
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Standin {
    /// Cuts all connections and stops listening, as when a host is reclaimed.
    pub fn stop(self) {
        drop(self.stop);
    }

    /// Waits until the server has ended, which happens only when the runtime shuts down.
    pub async fn wait(mut self) {
        self.stop.closed().await;
    }
}

/// Starts a server that passes each call to a handler until the stand-in is dropped.
///
/// # Errors
///
/// Returns the I/O error if the address can't be bound.
pub async fn start<F, R>(address: SocketAddr, handle: F) -> std::io::Result<Standin>
where
    F: Clone + Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    tokio::spawn(accept(listener, handle, stopped));
    Ok(Standin { address, stop })
}

async fn accept<F, R>(listener: TcpListener, handle: F, mut stopped: oneshot::Receiver<()>)
where
    F: Clone + Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    connections.spawn(connection(socket, handle.clone()));
                }
            }
        }
    }
}

async fn connection<F, R>(socket: TcpStream, handle: F)
where
    F: Clone + Fn(Call) -> R + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>>> + Send + 'static,
{
    // Best effort: without TCP_NODELAY only the latency of small packets grows.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let handle = handle.clone();
        async move {
            let call = read(request).await?;
            handle(call).await
        }
    });
    // Connection errors are left to the client to handle.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(socket), service)
        .await;
}

async fn read(request: Request<Incoming>) -> Result<Call> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    Ok(Call {
        method: parts.method.to_string(),
        path,
        headers: parts.headers,
        body,
    })
}

/// Returns an answer whose body is sent in one piece.
#[must_use]
pub fn full(status: u16, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    if let Ok(value) = content_type.parse() {
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}

/// Returns an answer with a JSON body.
#[must_use]
pub fn json(status: u16, value: &impl serde::Serialize) -> Response<Body> {
    full(
        status,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Returns an answer with status 200 whose body is streamed from a channel; an error in the channel
/// cuts the connection.
#[must_use]
pub fn streamed(content_type: &str, mut frames: Frames) -> Response<Body> {
    let frames = stream::poll_fn(move |context| frames.poll_recv(context));
    let frames = futures::StreamExt::map(frames, |bytes| bytes.map(Frame::data));
    let body = StreamBody::new(futures::StreamExt::boxed(frames));
    let mut response = Response::new(Either::Right(body));
    if let Ok(value) = content_type.parse() {
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}

/// Sleeps for an injected delay, and returns at once if it is zero.
pub async fn delay(milliseconds: u64) {
    if milliseconds > 0 {
        tokio::time::sleep(Duration::from_millis(milliseconds)).await;
    }
}
