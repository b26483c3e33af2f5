//! Takes one request in: route, organisation, body; then hands it to a task of its own.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::meta::Class;
use cactusglade_core::set::Target;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_wire::header;
use futures::Stream;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;

use crate::gate::answer;
use crate::gate::answer::Body;
use crate::gate::answer::Whole;
use crate::gate::chat;
use crate::gate::chat::Seed;
use crate::gate::context::Context;
use crate::gate::entry;
use crate::gate::entry::Entry;
use crate::gate::entry::NOBODY;
use crate::gate::entry::Refusal;
use crate::gate::entry::Result;
use crate::gate::entry::organisation;
use crate::gate::entry::record;
use crate::gate::entry::text;
use crate::gate::plain;
use crate::gate::resume;
use crate::gate::work;

/// `Way` is how a request is answered.
enum Way {
    /// With what is there already.
    Whole(Response<Whole>),
    /// By a chat that goes on from here.
    Chat(Entry, Seed),
}

/// Answers one request.
pub async fn handle(
    context: Arc<Context>,
    request: Request<Incoming>,
) -> Response<Body<impl Stream<Item = std::result::Result<Frame<Bytes>, Infallible>>>> {
    let id = entry::id(&context.daemon);
    let arrived = context.clock.now();
    let way = match choose(&context, request, &id, arrived).await {
        Ok(way) => way,
        Err(refusal) => Way::Whole(refuse(&context, refusal, &id, arrived)),
    };
    match way {
        Way::Whole(response) => response.map(Either::Left),
        Way::Chat(entry, seed) => chat::answer(entry, seed).await,
    }
}

async fn choose(
    context: &Arc<Context>,
    request: Request<Incoming>,
    id: &str,
    arrived: Millis,
) -> Result<Way> {
    let path = request.uri().path();
    if let Some(chat) = path.strip_prefix(answer::RESUME_PREFIX) {
        let (entry, seed) = resume::enter(context, &request, chat, id, arrived).await?;
        return Ok(Way::Chat(entry, seed));
    }
    if let Some(name) = path.strip_prefix(work::PREFIX) {
        let status = work::status(context, request.headers(), name, id).await?;
        return Ok(Way::Whole(status));
    }
    let entry = enter(context.clone(), request, id, arrived).await?;
    let class = entry.object().map(|route| (route.target, route.meta.class));
    let Some((Target::Chat(_), class)) = class else {
        return Ok(Way::Whole(plain::answer(entry).await));
    };
    let no_chat = "the body is no chat with messages and max_tokens above zero";
    let body = chat::read(&entry).ok_or(Refusal(Kind::BadRequest, no_chat))?;
    if class == Class::Deferrable && !body.stream {
        return Ok(Way::Whole(work::accept(entry).await));
    }
    Ok(Way::Chat(entry, Seed::new(body)))
}

fn refuse(context: &Context, refusal: Refusal, id: &str, arrived: Millis) -> Response<Whole> {
    let Refusal(kind, message) = refusal;
    record(context, id, NOBODY, NOBODY, kind.answer().code, arrived);
    let response = answer::failure(kind, message, id);
    match kind {
        // What is left of a body that was not read can't be told from the next request.
        Kind::BodyTooLarge | Kind::SlowRequest => answer::closing(response),
        _ => response,
    }
}

async fn enter(
    context: Arc<Context>,
    request: Request<Incoming>,
    id: &str,
    arrived: Millis,
) -> Result<Entry> {
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
    let organisation = organisation(&set, &parts.headers)?;
    let body = read(body, &context).await?;
    let deadline = set
        .routes
        .get(route)
        .map_or(Millis(0), |route| route.meta.deadline_ms);
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    Ok(Entry {
        id: id.to_owned(),
        organisation,
        route,
        method,
        path,
        idempotency_key: text(&parts.headers, header::IDEMPOTENCY_KEY),
        content_type: text(&parts.headers, hyper::header::CONTENT_TYPE.as_str()),
        body,
        arrived,
        deadline: arrived + deadline,
        context,
        set,
    })
}

async fn read(body: Incoming, context: &Context) -> Result<Bytes> {
    let limited = Limited::new(body, context.limits.body_bytes);
    let within = Duration::from_millis(context.limits.body_timeout.0);
    match tokio::time::timeout(within, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal(
            Kind::BodyTooLarge,
            "the body is longer than the limit",
        )),
        Ok(Err(_)) => Err(Refusal(Kind::BadRequest, "the body broke off")),
        Err(_) => Err(Refusal(Kind::SlowRequest, "the body took too long")),
    }
}
