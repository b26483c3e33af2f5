//! Takes in a caller whose chat was begun at another daemon.

use std::sync::Arc;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::row::Handover;
use cactusglade_core::units::Millis;
use hyper::Request;
use hyper::body::Incoming;

use crate::gate::chat;
use crate::gate::chat::Seed;
use crate::gate::context::Context;
use crate::gate::entry;
use crate::gate::entry::Entry;
use crate::gate::entry::Refusal;
use crate::peer;
use crate::relay;
use cactusglade_link::clock;

const FROM: &str = "from=";
const UNKNOWN: Refusal = Refusal(
    Kind::UnknownWork,
    "no chat of this organisation has this name",
);

/// Finds the chat here or at a peer and makes it ready to go on after what the caller has.
///
/// # Errors
///
/// Refuses callers without the organisation's key and chats that nobody keeps.
pub async fn enter(
    context: &Arc<Context>,
    request: &Request<Incoming>,
    chat: &str,
    id: &str,
    arrived: Millis,
) -> entry::Result<(Entry, Seed)> {
    let set = context.sets.borrow().clone();
    let organisation = entry::organisation(&set, request.headers())?;
    let handover = find(context, chat).await.ok_or(UNKNOWN)?;
    if set.organisations.find(&handover.organisation) != Some(organisation) {
        return Err(UNKNOWN);
    }
    let route = set.routes.find(&handover.route).ok_or(UNKNOWN)?;
    let left = handover.deadline_unix_ms - clock::unix_time();
    let entry = Entry {
        context: context.clone(),
        id: id.to_owned(),
        organisation,
        route,
        method: "POST".to_owned(),
        path: request.uri().path().to_owned(),
        idempotency_key: None,
        content_type: None,
        body: Bytes::from(handover.body),
        arrived,
        deadline: arrived + left,
        set,
    };
    let seed = Seed {
        body: chat::read(&entry).ok_or(UNKNOWN)?,
        emitted: handover.emitted,
        passed: passed(request),
    };
    Ok((entry, seed))
}

async fn find(context: &Context, chat: &str) -> Option<Handover> {
    let kept = context.relay.ask(relay::Get(chat.to_owned())).await;
    if let Ok(Some(kept)) = kept {
        return Some(kept);
    }
    let found = context.peer.ask(peer::Find(chat.to_owned())).await;
    found.ok().flatten()
}

/// How many tokens the caller has, from the query.
fn passed(request: &Request<Incoming>) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let from = query.split('&').find_map(|part| part.strip_prefix(FROM));
    from.and_then(|from| from.parse().ok()).unwrap_or(0)
}
