//! Carries out what [`cactusglade_policy::ledger`] decides, against the platform's table.

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
use crate::store::Ending;
use crate::store::Store;

/// Tries to write an outcome before it is given up.
const MAX_SETTLE_TRIES: u32 = 60;
/// Time between two such tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// `Verdict` says what a keyed request may do.
#[derive(Debug)]
pub enum Verdict {
    /// Send it; its end must be told to the claim.
    Send(Box<Claim>),
    /// Give this answer, which was stored before.
    Replay(Reply),
    /// Refuse it.
    Refuse(Kind),
}

/// `Ledger` is a handle to the rows of attempts.
#[derive(Clone, Debug)]
pub struct Ledger {
    store: ActorRef<Store>,
    platform: Platform,
}

/// `Claim` is the right to send one attempt, and the duty to record its outcome.
#[derive(Debug)]
pub struct Claim {
    ledger: Ledger,
    key: String,
    entry: Entry,
}

impl Ledger {
    /// Makes a handle.
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
    ) -> Verdict {
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
                    return Verdict::Send(Box::new(Claim { ledger, key, entry }));
                }
                Action::Replay(reply) => return Verdict::Replay(reply),
                Action::Refuse(kind) => {
                    if kind == Kind::StoreUnavailable {
                        // An insert may still be on its way; it must not block the key for good.
                        let claim = Claim {
                            ledger: self.clone(),
                            key,
                            entry,
                        };
                        claim.settle(Outcome::NotRun);
                    }
                    return Verdict::Refuse(kind);
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
            Ending::Written => Event::Written,
            Ending::Conflict(found) => conflict(found),
            Ending::Refused | Ending::Unknown => Event::Unknown,
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
    /// Records the outcome, in a task of its own that tries for as long as that is worth it.
    pub fn settle(self, outcome: Outcome) {
        tokio::spawn(self.record(outcome));
    }

    /// Records the outcome and waits for the first try, so that a repeat finds it.
    pub async fn settle_now(self, outcome: Outcome) {
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
        for _ in 0..MAX_SETTLE_TRIES {
            match self
                .ledger
                .write(&self.key, expected.clone(), row.clone())
                .await
            {
                Event::Written => return,
                Event::Conflict(Some(found)) if found.attempt != row.attempt => return,
                Event::Conflict(found) if found.as_ref() == Some(&row) => return,
                // Nothing there means that the insert never took effect, or not yet.
                Event::Conflict(found) => expected = found,
                Event::Unknown | Event::Row(_) => tokio::time::sleep(SETTLE_PAUSE).await,
            }
        }
    }
}

fn encode(row: &Attempt) -> Value {
    serde_json::to_value(row).unwrap_or_default()
}

/// A conflict with the row as typed; one that can't be read tells nothing.
fn conflict(found: Option<Value>) -> Event {
    match found.map(serde_json::from_value).transpose() {
        Ok(row) => Event::Conflict(row),
        Err(_) => Event::Unknown,
    }
}
