//! The service that advances rollouts while it holds the rollout lease.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use cactusglade_core::row::Key;
use cactusglade_core::row::Lease as LeaseRow;
use cactusglade_core::row::Move;
use cactusglade_core::row::Value;
use cactusglade_policy::lease::Action;
use cactusglade_policy::lease::Lease;
use cactusglade_policy::rollout::Progress;
use cactusglade_wire::platform as wire;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use slog::Logger;
use slog::info;

use crate::dispatch::Dispatch;
use crate::dispatch::Inspect;
use crate::dispatch::Inspection;
use crate::peer;
use crate::peer::Peer;
use crate::platform::Committed;
use crate::platform::Platform;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "driver";
/// Time between two reads of the lease and the rollouts.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// `Options` holds the dependencies of the service.
#[derive(Debug)]
pub struct Options {
    /// Holder name in the lease's row: name of the daemon and its incarnation.
    pub holder: String,
    /// The platform.
    pub platform: Platform,
    /// The dispatch service, which collects the evidence.
    pub dispatch: ActorRef<Dispatch>,
    /// The peer service, which distributes the rollouts' rows to other daemons.
    pub peer: ActorRef<Peer>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
}

/// `Driver` competes for the rollout lease and advances rollouts while it holds it.
#[derive(Debug)]
pub struct Driver {
    options: Options,
    lease: Lease,
    lease_row: Option<LeaseRow>,
    progress: BTreeMap<String, Progress>,
}

struct Tick;

impl Actor for Driver {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(actor.downgrade()));
        let lease = Lease::new(&options.holder);
        Ok(Self {
            options,
            lease,
            lease_row: None,
            progress: BTreeMap::new(),
        })
    }
}

/// Triggers a pass at a fixed interval after the end of the previous pass.
async fn tick(actor: WeakActorRef<Driver>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

impl Message<Tick> for Driver {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let Ok(rollouts) = self.options.dispatch.ask(Inspect).await else {
            return;
        };
        self.progress
            .retain(|name, _| rollouts.iter().any(|rollout| rollout.name == *name));
        if rollouts.is_empty() {
            return;
        }
        let Ok(mut rows) = self
            .options
            .platform
            .read(&[wire::ROLLOUT_LEASE_KEY], &[wire::MOVE_PREFIX])
            .await
        else {
            return;
        };
        let lease = rows.remove(wire::ROLLOUT_LEASE_KEY);
        self.update_lease(lease.and_then(|row| serde_json::from_value(row).ok()))
            .await;
        for rollout in rollouts {
            let key = row_key(&rollout);
            let row = rows
                .remove(&key)
                .and_then(|row| serde_json::from_value(row).ok());
            self.advance(&rollout, key, row).await;
        }
    }
}

impl Driver {
    /// Acquires or renews the lease where that is due.
    async fn update_lease(&mut self, row: Option<LeaseRow>) {
        let action = self.lease.observe(self.options.clock.now(), row.clone());
        self.lease_row.clone_from(&row);
        let Action::Write(next) = action else { return };
        let commit = wire::Commit {
            writes: vec![wire::Write {
                key: wire::ROLLOUT_LEASE_KEY.to_owned(),
                expect: row.as_ref().map(encode),
                value: Some(encode(&next)),
            }],
            checks: Vec::new(),
        };
        let sent = self.options.clock.now();
        if self.options.platform.commit(&commit).await == Ok(Committed::Yes) {
            if row.is_none_or(|row| row.holder != next.holder) {
                info!(self.options.log, "lease_taken"; "duty" => "rollouts", "epoch" => next.epoch);
            }
            self.lease.confirm(sent, next.clone());
            self.lease_row = Some(next);
        }
    }

    /// Writes the next state of one rollout, if it changes and the lease is held.
    async fn advance(&mut self, rollout: &Inspection, key: String, row: Option<Move>) {
        let now = self.options.clock.now();
        if self.lease.epoch(now).is_none() {
            return;
        }
        let progress = self.progress.entry(rollout.name.clone()).or_default();
        let veto = rollout.veto.as_deref();
        let next = progress.next(
            now,
            clock::unix_time(),
            &rollout.object,
            row.as_ref(),
            &rollout.detector,
            veto,
        );
        let Some(next) = next else { return };
        let commit = wire::Commit {
            writes: vec![wire::Write {
                key,
                expect: row.as_ref().map(encode),
                value: Some(encode(&next)),
            }],
            // The epoch in the lease's row is the fencing token: the commit fails if another
            // driver has taken the lease meanwhile.
            checks: vec![wire::Check {
                key: wire::ROLLOUT_LEASE_KEY.to_owned(),
                expect: self.lease_row.as_ref().map(encode),
            }],
        };
        if self.options.platform.commit(&commit).await == Ok(Committed::Yes) {
            info!(self.options.log, "rollout_moved"; "rollout" => &rollout.name,
                "status" => ?next.status, "step" => next.step, "reason" => &next.reason);
            let key = Key::Move(rollout.name.clone(), next.deadline_unix_ms);
            let rows = vec![(key, Value::Move(next))];
            // The peer service ends before this one only when the daemon stops.
            let _ = self.options.peer.tell(peer::Gossip(rows)).await;
        }
    }
}

/// Returns the key of a rollout's row; the deadline distinguishes rollouts of the same name.
fn row_key(rollout: &Inspection) -> String {
    format!(
        "{}{}/{}",
        wire::MOVE_PREFIX,
        rollout.name,
        rollout.object.deadline_unix_ms.0
    )
}

fn encode(row: &impl serde::Serialize) -> serde_json::Value {
    serde_json::to_value(row).unwrap_or_default()
}
