//! Admission of a caller's request: decoding, routing, authentication, and reading the body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::call::Call;
use cactusglade_core::catalog::Catalog;
use cactusglade_core::errors::Kind;
use cactusglade_core::refusal::Reason;
use cactusglade_core::units::Millis;
use cactusglade_link::body;
use cactusglade_link::body::Budget;
use cactusglade_wire::port;
use cactusglade_wire::port::Refusal;
use futures::Stream;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use slog::info;

use crate::log::Field;

use super::context::Context;
use super::context::Phase;
use super::entry::Buffered;
use super::entry::Entry;
use super::entry::UNKNOWN;
use super::plain;
use super::stream;

/// Timeout of receiving a body. Callers send theirs right after the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest body of a refused request that is read, in bytes, and the time for it.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Error of admitting a request.
struct Rejection {
    kind: Kind,
    reason: Option<Reason>,
    id: Option<String>,
    /// Name of the route, where the catalog has one for the request.
    route: Option<String>,
}

impl Rejection {
    /// Rejects a request whose head was decoded.
    fn new(kind: Kind, catalog: &Catalog, call: &Call) -> Self {
        let route = catalog.route(&call.host, &call.path);
        let route = route.and_then(|key| catalog.routes.get(key));
        Self {
            kind,
            reason: Reason::implied(kind),
            id: Some(call.id.clone()),
            route: route.map(|route| route.name.clone()),
        }
    }
}

/// Answers one request.
pub async fn handle<F: port::Codec>(
    context: Arc<Context<F>>,
    request: Request<Incoming>,
) -> Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = stream::Item>>>> {
    let arrived = context.clock.now();
    let entry = match admit(&context, request, arrived).await {
        Ok(entry) => Arc::new(entry),
        Err(rejection) => return refuse(&context, &rejection, arrived).map(Either::Left),
    };
    let mut phase = context.phase.clone();
    tokio::select! {
        answer = answer(entry.clone()) => answer,
        Ok(_) = phase.wait_for(|phase| *phase == Phase::Ending) => {
            entry.refuse(Kind::UpstreamLost, None, None, 0).map(Either::Left)
        }
    }
}

/// Has an upstream answer a request that was admitted.
async fn answer<F: port::Codec>(
    entry: Arc<Entry<F>>,
) -> Response<Either<Full<Bytes>, StreamBody<impl Stream<Item = stream::Item>>>> {
    let route = entry.catalog_route();
    if route.is_some_and(|route| route.semantics.is_stream()) {
        match stream::answer(entry).await {
            Ok(response) => response.map(Either::Right),
            Err(buffered) => buffered.map(Either::Left),
        }
    } else {
        plain::answer(entry).await.map(Either::Left)
    }
}

/// Logs and counts a request that was not admitted, and returns the error answer.
fn refuse<F: port::Codec>(
    context: &Context<F>,
    rejection: &Rejection,
    arrived: Millis,
) -> Buffered {
    let kind = rejection.kind;
    let duration = context.clock.now() - arrived;
    let code = kind.answer().code;
    let labels = [UNKNOWN, UNKNOWN, code];
    context.metrics.requests.with_label_values(&labels).inc();
    if let Some(reason) = rejection.reason {
        let route = rejection.route.as_deref().unwrap_or(UNKNOWN);
        context.metrics.count_refusal(route, reason);
    }
    info!(context.log, "request"; "id" => rejection.id.as_deref().unwrap_or(UNKNOWN),
        "route" => Field(rejection.route.as_deref()), "code" => code,
        "reason" => Field(rejection.reason.map(Reason::as_str)), "version" => context.catalogs.borrow().version, "took_ms" => duration.0);
    let refusal = Refusal {
        kind,
        id: rejection.id.as_deref(),
        retry_after: kind.answer().retry_after,
        // The rest of an unread body can't be told apart from the next request.
        closes: true,
    };
    context.codec.encode_refusal(&refusal).map(Full::new)
}

/// Decodes, routes and authenticates a request, and reads its body.
async fn admit<F: port::Codec>(
    context: &Arc<Context<F>>,
    request: Request<Incoming>,
    arrived: Millis,
) -> Result<Entry<F>, Rejection> {
    let (head, body) = request.into_parts();
    let call = context.codec.decode_call(&head).map_err(|_| Rejection {
        kind: Kind::BadRequest,
        reason: Reason::implied(Kind::BadRequest),
        id: None,
        route: None,
    })?;
    let catalog = context.catalogs.borrow().clone();
    let rejection = |kind| Rejection::new(kind, &catalog, &call);
    let resolved = if *context.phase.borrow() >= Phase::Closing {
        Err(Kind::Draining)
    } else {
        resolve(&catalog, &call)
    };
    let (route, organisation) = match resolved {
        Ok(resolved) => resolved,
        Err(kind) => {
            discard_body(body, &context.requests).await;
            return Err(rejection(kind));
        }
    };
    let body = read_body(body, catalog.limits.body_bytes, &context.requests)
        .await
        .map_err(|(kind, reason)| Rejection {
            reason: Some(reason),
            ..rejection(kind)
        })?;
    // The body may have come long after the head.
    if *context.phase.borrow() >= Phase::Closing {
        return Err(rejection(Kind::Draining));
    }
    let timeout = catalog.routes.get(route).map(|route| route.timeout);
    let timeout = timeout.unwrap_or_default();
    let call_timeout = call.timeout.unwrap_or(timeout);
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
        deadline: arrived + timeout.min(call_timeout),
    })
}

/// Returns the route of a request, and the organisation that its key authenticates.
fn resolve(
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

/// Reads the body of a request that is refused: closing a connection with unread bytes resets it,
/// and the caller may lose the answer.
async fn discard_body(body: Incoming, budget: &Budget) {
    // The request is refused in any case.
    let _ = body::collect_within(body, MAX_DISCARDED_BYTES, budget, DISCARD_TIMEOUT).await;
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    budget: &Budget,
) -> Result<Bytes, (Kind, Reason)> {
    let body = body::collect_within(body, max_bytes, budget, BODY_TIMEOUT).await;
    body.map_err(|error| match error {
        body::Error::TooLong => (Kind::BodyTooLarge, Reason::Request),
        body::Error::TooFragmented | body::Error::Broken => (Kind::BadRequest, Reason::Request),
        body::Error::OverBudget => (Kind::Overloaded, Reason::Memory),
        body::Error::Timeout => (Kind::SlowRequest, Reason::Request),
    })
}
