//! Executes the decisions of [`cactusglade_policy::ledger`] on the platform's table.

use std::time::Duration;

use cactusglade_core::errors::Kind;
use cactusglade_core::row::Attempt;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;
use cactusglade_core::set::digest;
use cactusglade_policy::ledger::Action;
use cactusglade_policy::ledger::Entry;
use cactusglade_policy::ledger::Event;
use cactusglade_wire::platform as wire;
use kameo::actor::ActorRef;
use serde_json::Value;

use crate::platform::Platform;
use crate::store;
use crate::store::Completion;
use crate::store::Store;

/// Maximum number of attempts to write an outcome before it is abandoned.
const MAX_SETTLE_ATTEMPTS: u32 = 60;
/// Time between two attempts to write an outcome.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// `Decision` says whether to send, replay or refuse a request with an idempotency key.
#[derive(Debug)]
pub enum Decision {
    /// Send the request; its outcome must be recorded through the claim.
    Send(Box<Claim>),
    /// Return this stored answer of an earlier attempt.
    Replay(Reply),
    /// Refuse the request with this error.
    Refuse(Kind),
}

/// `Ledger` is a handle to the attempts' rows in the platform's table.
#[derive(Clone, Debug)]
pub struct Ledger {
    store: ActorRef<Store>,
    platform: Platform,
}

/// `Claim` is the right to send one attempt; its holder must record the outcome.
#[derive(Debug)]
pub struct Claim {
    ledger: Ledger,
    key: String,
    entry: Entry,
}

impl Ledger {
    /// Creates a handle that writes through the store service and reads from the platform.
    #[must_use]
    pub const fn new(store: ActorRef<Store>, platform: Platform) -> Self {
        Self { store, platform }
    }

    /// Claims the row of an organisation's idempotency key for an attempt.
    pub async fn claim(
        &self,
        organisation: &str,
        idempotency_key: &str,
        attempt: &str,
        request: &str,
    ) -> Decision {
        let digest = digest(idempotency_key.as_bytes());
        let key = format!("{}{organisation}/{digest}", wire::ATTEMPT_PREFIX);
        let mut entry = Entry::new(attempt, request);
        let mut action = entry.start();
        loop {
            let event = match action {
                Action::Write { expected, row } => self.write(&key, expected, row).await,
                Action::Read => self.read(&key).await,
                Action::Send => {
                    let ledger = self.clone();
                    return Decision::Send(Box::new(Claim { ledger, key, entry }));
                }
                Action::Replay(reply) => return Decision::Replay(reply),
                Action::Refuse(kind) => {
                    if kind == Kind::StoreUnavailable {
                        // The insert may still take effect; recording the attempt as not run keeps
                        // it from blocking the key permanently.
                        let claim = Claim {
                            ledger: self.clone(),
                            key,
                            entry,
                        };
                        claim.settle(Outcome::NotRun);
                    }
                    return Decision::Refuse(kind);
                }
            };
            action = entry.step(event);
        }
    }

    async fn write(&self, key: &str, expected: Option<Attempt>, row: Attempt) -> Event {
        let write = wire::Write {
            key: key.to_owned(),
            expect: expected.as_ref().map(encode),
            value: Some(encode(&row)),
        };
        match store::put(&self.store, write).await {
            Completion::Written => Event::Written,
            Completion::Conflict(found) => conflict(found),
            Completion::Refused | Completion::Unknown => Event::Unknown,
        }
    }

    async fn read(&self, key: &str) -> Event {
        match self.platform.row(key).await {
            Ok(row) => Event::Row(row),
            Err(_) => Event::Unknown,
        }
    }
}

impl Claim {
    /// Records the outcome in a background task, with a bounded number of retries.
    pub fn settle(self, outcome: Outcome) {
        tokio::spawn(self.record(outcome));
    }

    /// Records the outcome and waits for the first write, so that a repeated request finds it.
    ///
    /// Where the first write fails, retries follow in a background task.
    pub async fn settle_and_wait(self, outcome: Outcome) {
        let (own, row) = (
            self.entry.own().clone(),
            self.entry.outcome_row(outcome.clone()),
        );
        if self.ledger.write(&self.key, Some(own), row).await != Event::Written {
            self.settle(outcome);
        }
    }

    async fn record(self, outcome: Outcome) {
        let row = self.entry.outcome_row(outcome);
        let mut expected = Some(self.entry.own().clone());
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            match self
                .ledger
                .write(&self.key, expected.clone(), row.clone())
                .await
            {
                Event::Written => return,
                Event::Conflict(Some(found)) if found.attempt != row.attempt => return,
                Event::Conflict(found) if found.as_ref() == Some(&row) => return,
                // A missing row means that the insert has not taken effect, at least not yet.
                Event::Conflict(found) => expected = found,
                Event::Unknown | Event::Row(_) => tokio::time::sleep(SETTLE_RETRY_INTERVAL).await,
            }
        }
    }
}

fn encode(row: &Attempt) -> Value {
    serde_json::to_value(row).unwrap_or_default()
}

/// Converts a conflict into an event; the outcome is unknown if the row can't be parsed.
fn conflict(found: Option<Value>) -> Event {
    match found.map(serde_json::from_value).transpose() {
        Ok(row) => Event::Conflict(row),
        Err(_) => Event::Unknown,
    }
}
