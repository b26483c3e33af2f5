//! Accepts deferrable chats as work items, and answers requests for their status.

use std::sync::Arc;

use cactusglade_core::errors::Kind;
use cactusglade_core::row::Finished;
use cactusglade_core::row::Work;
use cactusglade_core::set::digest;
use cactusglade_wire::platform as wire;
use hyper::HeaderMap;
use hyper::Response;
use serde_json::Value;

use crate::gate::answer;
use crate::gate::answer::Buffered;
use crate::gate::context::Context;
use crate::gate::inbound;
use crate::gate::inbound::Inbound;
use crate::gate::inbound::Refusal;
use crate::platform::Committed;
use crate::platform::Error;

/// Path prefix under which callers ask for the status of work items.
pub const PATH_PREFIX: &str = "/work/";
const UNKNOWN_WORK: Refusal = Refusal(
    Kind::UnknownWork,
    "no work of this organisation has this name",
);
/// Length of the name of a work item, in hexadecimal digits.
const NAME_HEX_DIGITS: usize = 32;

/// Stores a chat as a work item in the platform's table, where any daemon can run it.
///
/// With an idempotency key the name of the item is derived from the key, so that a repeat of the
/// request finds the same item.
pub async fn accept(inbound: Inbound) -> Response<Buffered> {
    let name = match &inbound.idempotency_key {
        Some(key) => digest(format!("{} {key}", inbound.organisation_name()).as_bytes()),
        None => digest(inbound.id.as_bytes()),
    };
    let name = &name[..NAME_HEX_DIGITS];
    match store_work(&inbound, name).await {
        Ok(()) => {
            inbound.record("accepted");
            accepted(name, &inbound.id)
        }
        Err(kind) => {
            inbound.record(kind.answer().code);
            answer::failure(kind, "the work could not be accepted", &inbound.id)
        }
    }
}

fn accepted(name: &str, id: &str) -> Response<Buffered> {
    let body = serde_json::json!({ "work": name, "status": format!("{PATH_PREFIX}{name}") });
    answer::buffered(202, "application/json", body.to_string(), id)
}

async fn store_work(inbound: &Inbound, name: &str) -> Result<(), Kind> {
    let platform = &inbound.context.platform;
    let body = String::from_utf8_lossy(&inbound.body).into_owned();
    let request = digest(body.as_bytes());
    let stored = platform.put_object(&request, body).await;
    stored.map_err(|_| Kind::StoreUnavailable)?;
    let work = Work {
        organisation: inbound.organisation_name().to_owned(),
        route: inbound.route_name().to_owned(),
        request: request.clone(),
        lease: None,
    };
    let commit = wire::Commit {
        writes: vec![wire::Write {
            key: format!("{}{name}", wire::WORK_PREFIX),
            expect: None,
            value: serde_json::to_value(&work).ok(),
        }],
        checks: vec![wire::Check {
            key: format!("{}{name}", wire::FINISHED_PREFIX),
            expect: None,
        }],
    };
    match platform.commit(&commit).await {
        Ok(Committed::Yes) => Ok(()),
        Ok(Committed::No(conflict)) => {
            check_same_request(conflict.rows.into_values().flatten(), &request)
        }
        Err(Error::Refused(_)) => Err(Kind::StoreUnavailable),
        Err(Error::Unknown) => resolve_commit(inbound, name, &request).await,
    }
}

/// Checks that one of the rows stored under the item's name is for the same request.
fn check_same_request(mut rows: impl Iterator<Item = Value>, request: &str) -> Result<(), Kind> {
    if rows.any(|row| row["request"] == request) {
        Ok(())
    } else {
        Err(Kind::KeyReused)
    }
}

/// Reads back whether a commit whose response was lost took effect.
async fn resolve_commit(inbound: &Inbound, name: &str, request: &str) -> Result<(), Kind> {
    let keys = row_keys(name);
    let rows = inbound
        .context
        .platform
        .read(&[&keys[0], &keys[1]], &[])
        .await;
    let rows = rows.map_err(|_| Kind::Unsettled)?;
    if rows.is_empty() {
        return Err(Kind::Unsettled);
    }
    check_same_request(rows.into_values(), request)
}

fn row_keys(name: &str) -> [String; 2] {
    [wire::WORK_PREFIX, wire::FINISHED_PREFIX].map(|prefix| format!("{prefix}{name}"))
}

/// Answers with the status of a work item, and with its answer once it is done.
///
/// # Errors
///
/// Refuses unknown names and items of other organisations, and all requests while the platform does
/// not respond.
pub async fn status(
    context: &Arc<Context>,
    headers: &HeaderMap,
    name: &str,
    id: &str,
) -> inbound::Result<Response<Buffered>> {
    let set = context.sets.borrow().clone();
    let organisation = inbound::authenticate(&set, headers)?;
    let organisation = set.organisations.get(organisation).ok_or(UNKNOWN_WORK)?;
    let unavailable = Refusal(Kind::StoreUnavailable, "the platform does not answer");
    let [open, finished] = row_keys(name);
    let rows = context.platform.read(&[&open, &finished], &[]).await;
    let mut rows = rows.map_err(|_| unavailable)?;
    if let Some(row) = rows.remove(&finished) {
        let row: Finished = serde_json::from_value(row).map_err(|_| UNKNOWN_WORK)?;
        if row.organisation != organisation.name {
            return Err(UNKNOWN_WORK);
        }
        let answer = context
            .platform
            .object(&row.answer)
            .await
            .map_err(|_| unavailable)?;
        let body = format!("{{\"status\":\"done\",\"answer\":{answer}}}");
        return Ok(answer::buffered(200, "application/json", body, id));
    }
    let row = rows.remove(&open).ok_or(UNKNOWN_WORK)?;
    let row: Work = serde_json::from_value(row).map_err(|_| UNKNOWN_WORK)?;
    if row.organisation != organisation.name {
        return Err(UNKNOWN_WORK);
    }
    let status = if row.lease.is_some() {
        "running"
    } else {
        "waiting"
    };
    let body = serde_json::json!({ "status": status }).to_string();
    Ok(answer::buffered(202, "application/json", body, id))
}
