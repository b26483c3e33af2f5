//! Handles one HTTP request: matches the route, authenticates the organisation, reads the body and
//! passes the request on by its class.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::meta::Class;
use cactusglade_core::set::Target;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_link::body;
use cactusglade_wire::header;
use futures::Stream;
use http_body_util::Either;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::gate::answer;
use crate::gate::answer::Body;
use crate::gate::answer::Buffered;
use crate::gate::chat;
use crate::gate::chat::Checkpoint;
use crate::gate::context::Context;
use crate::gate::inbound;
use crate::gate::inbound::Inbound;
use crate::gate::inbound::Refusal;
use crate::gate::inbound::Result;
use crate::gate::inbound::UNKNOWN_LABEL;
use crate::gate::inbound::authenticate;
use crate::gate::inbound::header_text;
use crate::gate::inbound::record;
use crate::gate::plain;
use crate::gate::resume;
use crate::gate::work;

/// `Handling` is how a request is answered.
enum Handling {
    /// With a complete response.
    Respond(Response<Buffered>),
    /// With the answer of a chat that starts or resumes here.
    Chat(Inbound, Checkpoint),
}

/// Answers one request.
pub async fn handle(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Response<Body<impl Stream<Item = std::result::Result<Frame<Bytes>, Infallible>>>> {
    let id = inbound::generate_id(&context.daemon);
    let arrived = context.clock.now();
    let handling = match classify(&context, request, &id, arrived).await {
        Ok(handling) => handling,
        Err(refusal) => Handling::Respond(refuse(&context, refusal, &id, arrived)),
    };
    match handling {
        Handling::Respond(response) => response.map(Either::Left),
        Handling::Chat(inbound, checkpoint) => chat::answer(inbound, checkpoint).await,
    }
}

async fn classify(
    context: &Arc<Context>,
    request: Request<Incoming>,
    id: &str,
    arrived: Millis,
) -> Result<Handling> {
    let path = request.uri().path();
    if let Some(chat) = path.strip_prefix(answer::RESUME_PREFIX) {
        let (inbound, checkpoint) = resume::restore(context, &request, chat, id, arrived).await?;
        return Ok(Handling::Chat(inbound, checkpoint));
    }
    if let Some(name) = path.strip_prefix(work::PATH_PREFIX) {
        let status = work::status(context, request.headers(), name, id).await?;
        return Ok(Handling::Respond(status));
    }
    let inbound = validate(context.clone(), request, id, arrived).await?;
    let class = inbound
        .route_object()
        .map(|route| (route.target, route.meta.class));
    let Some((Target::Chat(_), class)) = class else {
        return Ok(Handling::Respond(plain::answer(inbound).await));
    };
    let not_a_chat = "the body is no chat with messages and max_tokens above zero";
    let body = chat::parse(&inbound).ok_or(Refusal(Kind::BadRequest, not_a_chat))?;
    if class == Class::Deferrable && !body.stream {
        return Ok(Handling::Respond(work::accept(inbound).await));
    }
    Ok(Handling::Chat(inbound, Checkpoint::new(body)))
}

fn refuse(context: &Context, refusal: Refusal, id: &str, arrived: Millis) -> Response<Buffered> {
    let Refusal(kind, message) = refusal;
    record(
        context,
        id,
        UNKNOWN_LABEL,
        UNKNOWN_LABEL,
        kind.answer().code,
        arrived,
    );
    let response = answer::failure(kind, message, id);
    match kind {
        // Unread bytes of the body would be parsed as the next request on this connection.
        Kind::BodyTooLarge | Kind::SlowRequest => answer::close_connection(response),
        _ => response,
    }
}

async fn validate(
    context: Arc<Context>,
    request: Request<Incoming>,
    id: &str,
    arrived: Millis,
) -> Result<Inbound> {
    let set = context.sets.borrow().clone();
    if set.generation == Generation(0) {
        return Err(Refusal(Kind::NotReady, "no object set is in force yet"));
    }
    let (parts, body) = request.into_parts();
    let method = parts.method.as_str().to_owned();
    let route = match set.route(&method, parts.uri.path()) {
        Some((route, true)) => route,
        Some((_, false)) => {
            return Err(Refusal(
                Kind::MethodNotAllowed,
                "the route has another method",
            ));
        }
        None => {
            return Err(Refusal(
                Kind::UnknownRoute,
                "there is no route for this path",
            ));
        }
    };
    let organisation = authenticate(&set, &parts.headers)?;
    let body = read_body(body, &context).await?;
    let deadline = set
        .routes
        .get(route)
        .map_or(Millis(0), |route| route.meta.deadline_ms);
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    Ok(Inbound {
        id: id.to_owned(),
        organisation,
        route,
        method,
        path,
        idempotency_key: header_text(&parts.headers, header::IDEMPOTENCY_KEY),
        content_type: header_text(&parts.headers, hyper::header::CONTENT_TYPE.as_str()),
        body,
        arrived,
        deadline: arrived + deadline,
        context,
        set,
    })
}

async fn read_body(body: Incoming, context: &Context) -> Result<Bytes> {
    let timeout = Duration::from_millis(context.limits.body_timeout.0);
    let max_bytes = context.limits.body_bytes;
    let body = body::collect_within(body, max_bytes, &context.bodies, timeout).await;
    body.map_err(|error| match error {
        body::Error::TooLong => Refusal(Kind::BodyTooLarge, "the body is longer than the limit"),
        body::Error::TooFragmented => Refusal(Kind::BadRequest, "the body has too many chunks"),
        body::Error::OverBudget => Refusal(Kind::Overloaded, "other bodies use up the memory"),
        body::Error::Broken => Refusal(Kind::BadRequest, "the body broke off"),
        body::Error::Timeout => Refusal(Kind::SlowRequest, "the body took too long"),
    })
}
