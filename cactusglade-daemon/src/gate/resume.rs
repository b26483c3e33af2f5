//! Resumes chats that another daemon started.

use std::sync::Arc;

use bytes::Bytes;
use cactusglade_core::errors::Kind;
use cactusglade_core::row::Handover;
use cactusglade_core::units::Millis;
use hyper::Request;
use hyper::body::Incoming;

use crate::gate::chat;
use crate::gate::chat::Checkpoint;
use crate::gate::context::Context;
use crate::gate::inbound;
use crate::gate::inbound::Inbound;
use crate::gate::inbound::Refusal;
use crate::peer;
use crate::relay;
use cactusglade_link::clock;

const FROM_PARAMETER: &str = "from=";
const UNKNOWN_CHAT: Refusal = Refusal(
    Kind::UnknownWork,
    "no chat of this organisation has this name",
);

/// Finds the handed-over chat at this daemon or a peer, and prepares to resume it after the tokens
/// that the caller already has.
///
/// # Errors
///
/// Refuses callers without a valid API key, chats of another organisation, and chats that neither
/// this daemon nor a peer keeps.
pub async fn restore(
    context: &Arc<Context>,
    request: &Request<Incoming>,
    chat: &str,
    id: &str,
    arrived: Millis,
) -> inbound::Result<(Inbound, Checkpoint)> {
    let set = context.sets.borrow().clone();
    let organisation = inbound::authenticate(&set, request.headers())?;
    let handover = find_handover(context, chat).await.ok_or(UNKNOWN_CHAT)?;
    if set.organisations.find(&handover.organisation) != Some(organisation) {
        return Err(UNKNOWN_CHAT);
    }
    let route = set.routes.find(&handover.route).ok_or(UNKNOWN_CHAT)?;
    let remaining = handover.deadline_unix_ms - clock::unix_time();
    let inbound = Inbound {
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
        deadline: arrived + remaining,
        set,
    };
    let checkpoint = Checkpoint {
        body: chat::parse(&inbound).ok_or(UNKNOWN_CHAT)?,
        emitted: handover.emitted,
        delivered: parse_delivered(request),
    };
    Ok((inbound, checkpoint))
}

async fn find_handover(context: &Context, chat: &str) -> Option<Handover> {
    let kept = context.relay.ask(relay::Get(chat.to_owned())).await;
    if let Ok(Some(kept)) = kept {
        return Some(kept);
    }
    let found = context.peer.ask(peer::Find(chat.to_owned())).await;
    found.ok().flatten()
}

/// Returns how many tokens the caller already has, from the query parameter `from`.
fn parse_delivered(request: &Request<Incoming>) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let from = query
        .split('&')
        .find_map(|part| part.strip_prefix(FROM_PARAMETER));
    from.and_then(|from| from.parse().ok()).unwrap_or(0)
}
