//! The service that moves rollouts on while it holds the lease on doing so.

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
use crate::dispatch::Watch;
use crate::dispatch::Watched;
use crate::peer;
use crate::peer::Peer;
use crate::platform::Committed;
use crate::platform::Platform;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;

/// Name of the service.
pub const NAME: &str = "driver";
/// Time between two looks at the lease and the rollouts.
const EVERY: Duration = Duration::from_millis(500);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options {
    /// Name of the daemon with its incarnation, as the lease's holder.
    pub holder: String,
    /// The platform.
    pub platform: Platform,
    /// The dispatch service, which knows the evidence.
    pub dispatch: ActorRef<Dispatch>,
    /// The peer service, which makes moves known.
    pub peer: ActorRef<Peer>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
}

/// `Driver` holds or awaits the lease.
#[derive(Debug)]
pub struct Driver {
    options: Options,
    lease: Lease,
    row: Option<LeaseRow>,
    progress: BTreeMap<String, Progress>,
}

struct Look;

impl Actor for Driver {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(actor.downgrade()));
        let lease = Lease::new(&options.holder);
        Ok(Self {
            options,
            lease,
            row: None,
            progress: BTreeMap::new(),
        })
    }
}

/// Asks for a look whenever the one before is over and the time has passed.
async fn tick(actor: WeakActorRef<Driver>) {
    loop {
        tokio::time::sleep(EVERY).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Look).await.is_err() {
            return;
        }
    }
}

impl Message<Look> for Driver {
    type Reply = ();

    async fn handle(&mut self, _: Look, _: &mut Context<Self, ()>) {
        let Ok(rollouts) = self.options.dispatch.ask(Watch).await else {
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
        self.hold(lease.and_then(|row| serde_json::from_value(row).ok()))
            .await;
        for rollout in rollouts {
            let key = key(&rollout);
            let row = rows
                .remove(&key)
                .and_then(|row| serde_json::from_value(row).ok());
            self.drive(&rollout, key, row).await;
        }
    }
}

impl Driver {
    /// Takes or renews the lease where that is due.
    async fn hold(&mut self, row: Option<LeaseRow>) {
        let action = self.lease.observe(self.options.clock.now(), row.clone());
        self.row.clone_from(&row);
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
            self.row = Some(next);
        }
    }

    /// Writes the next step of one rollout, if there is one and the lease is held.
    async fn drive(&mut self, rollout: &Watched, key: String, row: Option<Move>) {
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
            &rollout.test,
            veto,
        );
        let Some(next) = next else { return };
        let commit = wire::Commit {
            writes: vec![wire::Write {
                key,
                expect: row.as_ref().map(encode),
                value: Some(encode(&next)),
            }],
            // The epoch in the lease's row fences off a driver that was replaced meanwhile.
            checks: vec![wire::Check {
                key: wire::ROLLOUT_LEASE_KEY.to_owned(),
                expect: self.row.as_ref().map(encode),
            }],
        };
        if self.options.platform.commit(&commit).await == Ok(Committed::Yes) {
            info!(self.options.log, "rollout_moved"; "rollout" => &rollout.name,
                "status" => ?next.status, "step" => next.step, "reason" => &next.reason);
            let key = Key::Move(rollout.name.clone(), next.deadline_unix_ms);
            let rows = vec![(key, Value::Move(next))];
            // The peer service ends before this one only when the daemon does.
            let _ = self.options.peer.tell(peer::Spread(rows)).await;
        }
    }
}

/// Key of the row of a rollout; its deadline tells moves of one name apart.
fn key(rollout: &Watched) -> String {
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
