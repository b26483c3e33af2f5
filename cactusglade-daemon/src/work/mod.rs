//! The service that runs accepted work items, also those that another daemon accepted.
//!
//! Each item runs under a lease in its own row. One transaction records the answer and removes the
//! row, on the condition that the row still carries that lease.

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
use crate::gate::chat::Checkpoint;
use crate::gate::inbound;
use crate::gate::inbound::Inbound;
use crate::platform::Committed;

/// Name under which the kernel registers the service.
pub const NAME: &str = "work";
/// Delay between two scans of the open work items.
const SCAN_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of items that one daemon runs at once.
const MAX_RUNNING: usize = 4;
/// Delay before an item that failed at this daemon is tried here again.
const RETRY_DELAY: Millis = Millis(5_000);

/// `Options` holds the start-up options of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of this daemon as holder of leases, with its incarnation.
    pub holder: String,
    /// The handles and settings that request tasks share.
    pub context: Arc<gate::Context>,
}

/// `Work` is the service that leases and runs work items.
#[derive(Debug)]
pub struct Work {
    options: Options,
    leases: BTreeMap<String, Lease>,
    running: BTreeMap<String, Row>,
    retry_at: BTreeMap<String, Millis>,
}

struct Scan;

struct Completed {
    key: String,
    answer: Option<String>,
}

impl Actor for Work {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(scan_regularly(actor.downgrade()));
        Ok(Self {
            options,
            leases: BTreeMap::new(),
            running: BTreeMap::new(),
            retry_at: BTreeMap::new(),
        })
    }
}

/// Scans the open work items until the service has stopped; scans never overlap.
async fn scan_regularly(actor: WeakActorRef<Work>) {
    loop {
        tokio::time::sleep(SCAN_INTERVAL).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Scan).await.is_err() {
            return;
        }
    }
}

impl Message<Scan> for Work {
    type Reply = ();

    async fn handle(&mut self, _: Scan, context: &mut Context<Self, ()>) {
        let platform = &self.options.context.platform;
        let Ok(rows) = platform.read(&[], &[wire::WORK_PREFIX]).await else {
            return;
        };
        self.leases.retain(|key, _| rows.contains_key(key));
        let mut rows = rows.into_iter().collect::<Vec<_>>();
        // The random order keeps daemons that scan at the same time from contending for one item.
        rows.shuffle(&mut rand::rng());
        for (key, row) in rows {
            if let Ok(row) = serde_json::from_value(row) {
                self.lease_or_renew(key, row, context).await;
            }
        }
    }
}

impl Message<Completed> for Work {
    type Reply = ();

    async fn handle(&mut self, completed: Completed, _: &mut Context<Self, ()>) {
        let Some(row) = self.running.remove(&completed.key) else {
            return;
        };
        self.leases.remove(&completed.key);
        let recorded = match completed.answer {
            Some(answer) => self.record(&completed.key, &row, answer).await,
            None => self.release_lease(&completed.key, &row).await,
        };
        let now = self.options.context.clock.now();
        if !recorded {
            // The lease expires, after which any daemon can take the item over.
            self.retry_at.insert(completed.key, now + RETRY_DELAY);
        }
    }
}

impl Work {
    /// Renews the lease on an item that runs here, or leases and starts an item without a holder.
    async fn lease_or_renew(&mut self, key: String, row: Row, context: &Context<Self, ()>) {
        let now = self.options.context.clock.now();
        let is_running = self.running.contains_key(&key);
        let is_delayed = self.retry_at.get(&key).is_some_and(|until| now < *until);
        if !is_running && (is_delayed || self.running.len() >= MAX_RUNNING) {
            return;
        }
        let lease = self.leases.entry(key.clone());
        let lease = lease.or_insert_with(|| Lease::new(&self.options.holder));
        let Action::Write(next) = lease.observe(now, row.lease.clone()) else {
            return;
        };
        let Some(leased) = self.write_lease(&key, &row, Some(next.clone())).await else {
            return;
        };
        if let Some(lease) = self.leases.get_mut(&key) {
            lease.confirm(now, next);
        }
        self.running.insert(key.clone(), leased.clone());
        if !is_running {
            info!(self.options.context.log, "work_taken"; "work" => &key);
            let gate = self.options.context.clone();
            context.pipe(async move {
                let answer = run_item(gate, &leased).await;
                Completed { key, answer }
            });
        }
    }

    /// Replaces the lease in the row of an item; returns the new row, `None` if it was not written.
    async fn write_lease(&self, key: &str, row: &Row, lease: Option<LeaseRow>) -> Option<Row> {
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

    /// Removes the lease, so that other daemons can run the item at once; returns whether the row was
    /// written.
    async fn release_lease(&mut self, key: &str, row: &Row) -> bool {
        let now = self.options.context.clock.now();
        self.retry_at.insert(key.to_owned(), now + RETRY_DELAY);
        self.write_lease(key, row, None).await.is_some()
    }

    /// Stores the answer and replaces the open row by a finished one; returns whether it succeeded.
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

/// Runs one work item; `None` if it can't be answered at present.
async fn run_item(context: Arc<gate::Context>, row: &Row) -> Option<String> {
    let body = context.platform.object(&row.request).await.ok()?;
    let set = context.sets.borrow().clone();
    let route = set.routes.find(&row.route)?;
    let arrived = context.clock.now();
    let deadline = arrived + set.routes.get(route)?.meta.deadline_ms;
    let inbound = Inbound {
        id: inbound::generate_id(&context.daemon),
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
    let checkpoint = Checkpoint::new(chat::parse(&inbound)?);
    let mut chat = Chat::start(inbound, checkpoint).await;
    chat::collect(&mut chat).await.ok()
}
