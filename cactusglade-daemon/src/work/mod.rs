//! The service that finishes accepted work, whichever daemon accepted it.
//!
//! Each piece is worked on under a lease in its own row; the answer is recorded in the same
//! transaction that removes the row, on the condition that the row still carries that lease.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cactusglade_core::row::Finished as FinishedRow;
use cactusglade_core::row::Lease as LeaseRow;
use cactusglade_core::row::Work as Row;
use cactusglade_core::set::digest;
use cactusglade_core::units::Millis;
use cactusglade_policy::lease::Action;
use cactusglade_policy::lease::Lease;
use cactusglade_wire::platform as wire;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use rand::seq::SliceRandom;
use slog::info;

use crate::gate;
use crate::gate::chat;
use crate::gate::chat::Chat;
use crate::gate::chat::Seed;
use crate::gate::entry;
use crate::gate::entry::Entry;
use crate::platform::Committed;

/// Name of the service.
pub const NAME: &str = "work";
/// Time between two looks at the open work.
const EVERY: Duration = Duration::from_secs(1);
/// Pieces that one daemon works on at once.
const MAX_RUNNING: usize = 4;
/// Time after which a piece that failed here is tried here again.
const PAUSE: Millis = Millis(5_000);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon with its incarnation, as the leases' holder.
    pub holder: String,
    /// What every request needs.
    pub context: Arc<gate::Context>,
}

/// `Work` holds the pieces that this daemon works on.
#[derive(Debug)]
pub struct Work {
    options: Options,
    leases: BTreeMap<String, Lease>,
    running: BTreeMap<String, Row>,
    paused: BTreeMap<String, Millis>,
}

struct Look;

struct Finished {
    key: String,
    answer: Option<String>,
}

impl Actor for Work {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(actor.downgrade()));
        Ok(Self {
            options,
            leases: BTreeMap::new(),
            running: BTreeMap::new(),
            paused: BTreeMap::new(),
        })
    }
}

/// Asks for a look whenever the one before is over and the time has passed.
async fn tick(actor: WeakActorRef<Work>) {
    loop {
        tokio::time::sleep(EVERY).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Look).await.is_err() {
            return;
        }
    }
}

impl Message<Look> for Work {
    type Reply = ();

    async fn handle(&mut self, _: Look, context: &mut Context<Self, ()>) {
        let platform = &self.options.context.platform;
        let Ok(rows) = platform.read(&[], &[wire::WORK_PREFIX]).await else {
            return;
        };
        self.leases.retain(|key, _| rows.contains_key(key));
        let mut rows = rows.into_iter().collect::<Vec<_>>();
        // Daemons that look at once do not all reach for the same piece.
        rows.shuffle(&mut rand::rng());
        for (key, row) in rows {
            if let Ok(row) = serde_json::from_value(row) {
                self.look(key, row, context).await;
            }
        }
    }
}

impl Message<Finished> for Work {
    type Reply = ();

    async fn handle(&mut self, finished: Finished, _: &mut Context<Self, ()>) {
        let Some(row) = self.running.remove(&finished.key) else {
            return;
        };
        self.leases.remove(&finished.key);
        let recorded = match finished.answer {
            Some(answer) => self.record(&finished.key, &row, answer).await,
            None => self.release(&finished.key, &row).await,
        };
        let now = self.options.context.clock.now();
        if !recorded {
            // The lease lapses, and whoever is able takes the piece over.
            self.paused.insert(finished.key, now + PAUSE);
        }
    }
}

impl Work {
    /// Renews the lease on a piece that runs here, or takes one that nobody works on.
    async fn look(&mut self, key: String, row: Row, context: &Context<Self, ()>) {
        let now = self.options.context.clock.now();
        let runs = self.running.contains_key(&key);
        let paused = self.paused.get(&key).is_some_and(|until| now < *until);
        if !runs && (paused || self.running.len() >= MAX_RUNNING) {
            return;
        }
        let lease = self.leases.entry(key.clone());
        let lease = lease.or_insert_with(|| Lease::new(&self.options.holder));
        let Action::Write(next) = lease.observe(now, row.lease.clone()) else {
            return;
        };
        let Some(held) = self.write(&key, &row, Some(next.clone())).await else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.confirm(now, next);
        }
        self.running.insert(key.clone(), held.clone());
        if !runs {
            info!(self.options.context.log, "work_taken"; "work" => &key);
            let gate = self.options.context.clone();
            context.pipe(async move {
                let answer = finish(gate, &held).await;
                Finished { key, answer }
            });
        }
    }

    async fn write(&self, key: &str, row: &Row, lease: Option<LeaseRow>) -> Option<Row> {
        let next = Row {
            lease,
            ..row.clone()
        };
        let commit = wire::Commit {
            writes: vec![wire::Write {
                key: key.to_owned(),
                expect: serde_json::to_value(row).ok(),
                value: serde_json::to_value(&next).ok(),
            }],
            checks: Vec::new(),
        };
        let committed = self.options.context.platform.commit(&commit).await;
        (committed == Ok(Committed::Yes)).then_some(next)
    }

    async fn release(&mut self, key: &str, row: &Row) -> bool {
        let now = self.options.context.clock.now();
        self.paused.insert(key.to_owned(), now + PAUSE);
        self.write(key, row, None).await.is_some()
    }

    /// Puts the answer in the place of the open row.
    async fn record(&self, key: &str, row: &Row, answer: String) -> bool {
        let platform = &self.options.context.platform;
        let address = digest(answer.as_bytes());
        if platform.put_object(&address, answer).await.is_err() {
            return false;
        }
        let finished = FinishedRow {
            organisation: row.organisation.clone(),
            request: row.request.clone(),
            answer: address,
        };
        let name = key.strip_prefix(wire::WORK_PREFIX).unwrap_or(key);
        let commit = wire::Commit {
            writes: vec![
                wire::Write {
                    key: key.to_owned(),
                    expect: serde_json::to_value(row).ok(),
                    value: None,
                },
                wire::Write {
                    key: format!("{}{name}", wire::FINISHED_PREFIX),
                    expect: None,
                    value: serde_json::to_value(&finished).ok(),
                },
            ],
            checks: Vec::new(),
        };
        let committed = platform.commit(&commit).await;
        let recorded = committed == Ok(Committed::Yes);
        info!(self.options.context.log, "work_finished"; "work" => key, "recorded" => recorded);
        recorded
    }
}

/// Answers one piece of work, nothing where that fails for now.
async fn finish(context: Arc<gate::Context>, row: &Row) -> Option<String> {
    let body = context.platform.object(&row.request).await.ok()?;
    let set = context.sets.borrow().clone();
    let route = set.routes.find(&row.route)?;
    let arrived = context.clock.now();
    let deadline = arrived + set.routes.get(route)?.meta.deadline_ms;
    let entry = Entry {
        id: entry::id(&context.daemon),
        organisation: set.organisations.find(&row.organisation)?,
        route,
        method: "POST".to_owned(),
        path: set.routes.get(route)?.meta.path.clone(),
        idempotency_key: None,
        content_type: None,
        body: Bytes::from(body),
        arrived,
        deadline,
        context,
        set,
    };
    let seed = Seed::new(chat::read(&entry)?);
    let mut chat = Chat::start(entry, seed).await;
    chat::gather(&mut chat).await.ok()
}
