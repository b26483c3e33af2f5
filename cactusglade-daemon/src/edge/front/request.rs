//! Admission of a caller's request: decoding, routing, authentication, and reading the body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::call::Call;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::units::Millis;
use cactusglade_wire::port;
use cactusglade_wire::port::Refusal;
use futures::Stream;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use slog::info;

use super::context::Context;
use super::context::Phase;
use super::entry::Entry;
use super::entry::NOBODY;
use super::entry::Whole;
use super::plain;
use super::stream;

/// Timeout of receiving a body. Callers send theirs right after the head.
const BODY: Duration = Duration::from_secs(10);

/// Error of admitting a request.
struct Reject {
    kind: Kind,
    id: Option<String>,
}

/// Answers one request.
pub async fn handle<F: port::Codec>(
    context: Arc<Context<F>>,
    request: Request<Incoming>,
) -> Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = stream::Item>>>> {
    let arrived = context.clock.now();
    let entry = match enter(&context, request, arrived).await {
        Ok(entry) => Arc::new(entry),
        Err(reject) => return refuse(&context, &reject, arrived).map(Either::Left),
    };
    if entry
        .object()
        .is_some_and(|route| route.semantics.is_stream())
    {
        match stream::answer(entry).await {
            Ok(response) => response.map(Either::Right),
            Err(whole) => whole.map(Either::Left),
        }
    } else {
        plain::answer(entry).await.map(Either::Left)
    }
}

fn refuse<F: port::Codec>(context: &Context<F>, reject: &Reject, arrived: Millis) -> Whole {
    let kind = reject.kind;
    let took = context.clock.now() - arrived;
    let code = kind.answer().code;
    let labels = [NOBODY, NOBODY, code];
    context.metrics.requests.with_label_values(&labels).inc();
    info!(context.log, "request"; "id" => reject.id.as_deref().unwrap_or(NOBODY),
        "code" => code, "version" => context.catalogs.borrow().version, "took_ms" => took.0);
    let refusal = Refusal {
        kind,
        id: reject.id.as_deref(),
        retry_after: kind.answer().retry_after,
        // The rest of an unread body can't be told apart from the next request.
        closes: true,
    };
    context.front.encode_refusal(&refusal).map(Full::new)
}

async fn enter<F: port::Codec>(
    context: &Arc<Context<F>>,
    request: Request<Incoming>,
    arrived: Millis,
) -> Result<Entry<F>, Reject> {
    let (head, body) = request.into_parts();
    let call = context.front.decode_call(&head).map_err(|_| Reject {
        kind: Kind::BadRequest,
        id: None,
    })?;
    let reject = |kind| Reject {
        kind,
        id: Some(call.id.clone()),
    };
    if *context.phase.borrow() == Phase::Closing {
        return Err(reject(Kind::Draining));
    }
    let catalog = context.catalogs.borrow().clone();
    let (route, organisation) = find(&catalog, &call).map_err(reject)?;
    let body = read(body, catalog.limits.body_bytes)
        .await
        .map_err(reject)?;
    let timeout = catalog.routes.get(route).map(|route| route.timeout);
    let timeout = timeout.unwrap_or_default();
    let patience = call.timeout.unwrap_or(timeout);
    Ok(Entry {
        context: context.clone(),
        head,
        prompt: call.prompt.clone().map(Arc::new),
        call,
        body,
        catalog,
        route,
        organisation,
        arrived,
        deadline: arrived + timeout.min(patience),
    })
}

/// Returns the route of a request, and the organisation that its key authenticates.
fn find(
    catalog: &Catalog,
    call: &Call,
) -> Result<(arena::Route, Option<arena::Organisation>), Kind> {
    if catalog.version == 0 {
        return Err(Kind::NotReady);
    }
    let route = catalog.route(&call.host, &call.path);
    let route = route.ok_or(Kind::UnknownRoute)?;
    let organisation = call
        .key
        .as_deref()
        .and_then(|key| catalog.authenticate(key));
    let is_public = catalog
        .routes
        .get(route)
        .is_some_and(|route| route.is_public);
    if is_public || !catalog.needs_keys() {
        return Ok((route, organisation));
    }
    Ok((route, Some(organisation.ok_or(Kind::Unauthenticated)?)))
}

async fn read(body: Incoming, most: usize) -> Result<Bytes, Kind> {
    let limited = Limited::new(body, most);
    match tokio::time::timeout(BODY, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Kind::BodyTooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
        Err(_) => Err(Kind::SlowRequest),
    }
}
