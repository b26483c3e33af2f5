//! Takes one request in: route, organisation, body; then hands it to a task of its own.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::arena;
use cactusglade_core::errors::Kind;
use cactusglade_core::meta::Class;
use cactusglade_core::set;
use cactusglade_core::set::Set;
use cactusglade_core::set::Target;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_wire::header;
use futures::Stream;
use http_body_util::BodyExt;
use http_body_util::Either;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use slog::info;

use crate::gate::Context;
use crate::gate::answer;
use crate::gate::answer::Body;
use crate::gate::answer::Whole;
use crate::gate::chat;
use crate::gate::chat::Seed;
use crate::gate::plain;
use crate::gate::resume;
use crate::gate::work;

/// What a refused request names in logs and metrics where nothing better is known.
const NOBODY: &str = "-";

/// `Entry` is a request that was let in, before it is told apart by what it wants.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What every request needs.
    pub context: Arc<Context>,
    /// The set that was in force when it came.
    pub set: Arc<Set>,
    /// Names the request.
    pub id: String,
    /// Whose it is.
    pub organisation: arena::Organisation,
    /// Where it goes.
    pub route: arena::Route,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Key by which it may be repeated.
    pub idempotency_key: Option<String>,
    /// Content type, if it was named.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// When it came, on the daemon's clock.
    pub arrived: Millis,
    /// When no answer helps any more, on the daemon's clock.
    pub deadline: Millis,
}

/// `Refusal` is an error kind with words for people.
#[derive(Clone, Copy, Debug)]
pub struct Refusal(pub Kind, pub &'static str);

/// Result of taking a request in.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Makes a name for a request that no other request of any daemon has.
pub fn id(daemon: &str) -> String {
    format!("{daemon}-{:016x}", rand::random::<u64>())
}

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
    let id = id(&context.daemon);
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

/// The organisation whose API key the headers carry.
pub fn organisation(set: &Set, headers: &HeaderMap) -> Result<arena::Organisation> {
    let refusal = Refusal(Kind::Unauthenticated, "a valid API key is needed");
    let value = text(headers, AUTHORIZATION.as_str()).ok_or(refusal)?;
    let key = value.strip_prefix("Bearer ").ok_or(refusal)?;
    set.authenticate(key.trim()).ok_or(refusal)
}

async fn read(body: Incoming, context: &Context) -> Result<Bytes> {
    let limited = Limited::new(body, context.limits.body_bytes);
    let within = Duration::from_millis(context.limits.body_ms.0);
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

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Writes the one line of a request into the log and counts it.
fn record(
    context: &Context,
    id: &str,
    route: &str,
    organisation: &str,
    code: &str,
    arrived: Millis,
) {
    let took = context.clock.now() - arrived;
    context
        .metrics
        .requests
        .with_label_values(&[route, organisation, code])
        .inc();
    info!(context.log, "request"; "request_id" => id, "route" => route,
        "organisation" => organisation, "code" => code, "took_ms" => took.0);
}

impl Entry {
    /// The route's object; the key is from the set that the entry holds.
    pub fn object(&self) -> Option<&set::Route> {
        self.set.routes.get(self.route)
    }

    /// Name of the organisation.
    pub fn organisation_name(&self) -> &str {
        self.set
            .organisations
            .get(self.organisation)
            .map_or(NOBODY, |o| o.name.as_str())
    }

    /// Name of the route.
    pub fn route_name(&self) -> &str {
        self.object().map_or(NOBODY, |route| route.name.as_str())
    }

    /// Writes the request's line into the log and counts it.
    pub fn record(&self, code: &str) {
        let (route, organisation) = (self.route_name(), self.organisation_name());
        record(
            &self.context,
            &self.id,
            route,
            organisation,
            code,
            self.arrived,
        );
    }

    /// Counts the time to the first byte of the answer.
    pub fn first_byte(&self) {
        let took = self.context.clock.now() - self.arrived;
        let labels = [self.route_name(), self.organisation_name()];
        let seconds = Duration::from_millis(took.0).as_secs_f64();
        self.context
            .metrics
            .first_byte
            .with_label_values(&labels)
            .observe(seconds);
    }
}
