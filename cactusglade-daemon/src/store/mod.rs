//! The service that writes single rows in batches, one transaction for each batch.
//!
//! The platform supports several hundred writes a second from all daemons together, so writes that
//! arrive while a transaction is in progress go into the next one. See `docs/DESIGN.md`.

use std::convert::Infallible;

use cactusglade_wire::platform as wire;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use serde_json::Value;
use tokio::sync::oneshot;

use crate::platform::Committed;
use crate::platform::Error;
use crate::platform::Platform;

/// Name of the service.
pub const NAME: &str = "store";
/// Maximum number of rows written in one transaction.
const MAX_BATCH_ROWS: usize = 64;

/// `Completion` is the outcome of one write.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The write took effect.
    Written,
    /// The write did not take effect: the row has this value, `None` where it does not exist.
    Conflict(Option<Value>),
    /// The write did not take effect: the platform refused it, or the service has ended.
    Refused,
    /// The write may have taken effect: no answer was received.
    Unknown,
}

/// `Put` requests a write of one row.
#[derive(Debug)]
pub struct Put {
    /// The write.
    pub write: wire::Write,
    /// Channel for the outcome.
    pub reply: oneshot::Sender<Completion>,
}

/// `Store` collects writes and commits them in batches, one transaction at a time.
#[derive(Debug)]
pub struct Store {
    platform: Platform,
    pending: Vec<Put>,
    committing: bool,
}

struct Finished {
    batch: Vec<Put>,
    result: Result<Committed, Error>,
}

impl Actor for Store {
    type Args = Platform;
    type Error = Infallible;

    async fn on_start(platform: Platform, _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            platform,
            pending: Vec::new(),
            committing: false,
        })
    }
}

impl Message<Put> for Store {
    type Reply = ();

    async fn handle(&mut self, put: Put, context: &mut Context<Self, ()>) {
        self.pending.push(put);
        self.commit(context);
    }
}

impl Message<Finished> for Store {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, context: &mut Context<Self, ()>) {
        self.committing = false;
        let Finished { batch, result } = finished;
        match result {
            Ok(Committed::Yes) => complete(batch, &Completion::Written),
            Ok(Committed::No(conflict)) => self.resolve_conflict(batch, &conflict),
            Err(Error::Refused(_)) => complete(batch, &Completion::Refused),
            Err(Error::Unknown) => complete(batch, &Completion::Unknown),
        }
        self.commit(context);
    }
}

impl Store {
    /// Starts the next transaction if none is in progress.
    fn commit(&mut self, context: &Context<Self, ()>) {
        self.pending.retain(|put| !put.reply.is_closed());
        if self.committing || self.pending.is_empty() {
            return;
        }
        self.committing = true;
        let batch = self.next_batch();
        let writes = batch.iter().map(|put| put.write.clone()).collect();
        let commit = wire::Commit {
            writes,
            checks: Vec::new(),
        };
        let platform = self.platform.clone();
        context.pipe(async move {
            let result = platform.commit(&commit).await;
            Finished { batch, result }
        });
    }

    /// Removes and returns the next batch of pending writes, with at most one for each key.
    ///
    /// A second write for the same key waits until the first has completed.
    fn next_batch(&mut self) -> Vec<Put> {
        let mut batch: Vec<Put> = Vec::new();
        let mut rest = Vec::new();
        for put in self.pending.drain(..) {
            let duplicate = batch.iter().any(|other| other.write.key == put.write.key);
            if duplicate || batch.len() >= MAX_BATCH_ROWS {
                rest.push(put);
            } else {
                batch.push(put);
            }
        }
        self.pending = rest;
        batch
    }

    /// Completes the writes that conflicted and queues the others of the failed batch again.
    fn resolve_conflict(&mut self, batch: Vec<Put>, conflict: &wire::Conflict) {
        for put in batch {
            match conflict.rows.get(&put.write.key) {
                Some(found) => complete(vec![put], &Completion::Conflict(found.clone())),
                None => self.pending.push(put),
            }
        }
    }
}

fn complete(batch: Vec<Put>, completion: &Completion) {
    for put in batch {
        // The receiver may have been dropped.
        let _ = put.reply.send(completion.clone());
    }
}

/// Writes one row through the service and waits for the outcome.
pub async fn put(store: &ActorRef<Store>, write: wire::Write) -> Completion {
    let (reply, completion) = oneshot::channel();
    if store.tell(Put { write, reply }).await.is_err() {
        return Completion::Refused;
    }
    completion.await.unwrap_or(Completion::Unknown)
}
