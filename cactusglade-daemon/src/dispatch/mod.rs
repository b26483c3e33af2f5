//! The service that owns the dispatch policy and the idle connections to upstreams.
//!
//! A request task sends one message to be admitted and one when it is done. It receives its
//! instructions through a channel of its own. See `docs/DESIGN.md`.

mod handlers;
pub mod messages;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::arena;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Millis;
use cactusglade_policy::choice::Cheapest;
use cactusglade_policy::dispatch as policy;
use cactusglade_policy::dispatch::Action;
use cactusglade_policy::dispatch::Grant;
use cactusglade_policy::dispatch::Report;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::Recipient;
use kameo::actor::WeakActorRef;
use kameo::error::ActorStopReason;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::metrics::Metrics;
use crate::peer::messages::Gossip;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_link::link::Connection;

pub use messages::Admit;
pub use messages::Adopt;
pub use messages::Apply;
pub use messages::Assignment;
pub use messages::Finish;
pub use messages::Inspect;
pub use messages::Inspection;
pub use messages::Instruction;
pub use messages::Retry;
pub use messages::Subscribe;
pub use messages::Summarise;
pub use messages::Summary;
pub use messages::Tick;
pub use messages::Update;

/// Name under which the kernel registers the service.
pub const NAME: &str = "dispatch";
/// Interval between ticks while requests wait or upstreams are leaving.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// `Options` holds the start-up options of the service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Availability zone of the daemon.
    pub zone: String,
    /// Maximum number of requests that wait for a slot; further ones are refused.
    pub max_waiting: usize,
    /// The daemon's monotonic clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Dispatch` is the service that owns the dispatch policy and the idle connections.
#[derive(Debug)]
pub struct Dispatch {
    policy: policy::Dispatch<Cheapest>,
    instructions: BTreeMap<arena::Ticket, mpsc::Sender<Instruction>>,
    idle: BTreeMap<arena::Upstream, Vec<Connection>>,
    subscriber: Option<Recipient<Gossip>>,
    /// Notifies the ticking task that ticks are needed more often.
    busy: Arc<Notify>,
    clock: Clock,
    log: Logger,
    metrics: Metrics,
}

impl Actor for Dispatch {
    type Args = Options;
    type Error = Infallible;

    async fn on_start(options: Options, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let busy = Arc::new(Notify::new());
        tokio::spawn(tick_regularly(actor.downgrade(), busy.clone()));
        Ok(Self {
            busy,
            policy: policy::Dispatch::new(&options.zone, Cheapest, options.max_waiting),
            instructions: BTreeMap::new(),
            idle: BTreeMap::new(),
            subscriber: None,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
        })
    }

    async fn on_stop(
        &mut self,
        _: WeakActorRef<Self>,
        _: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.instructions.clear();
        Ok(())
    }
}

/// Sends ticks until the service has stopped, at the shorter interval while the policy is busy.
async fn tick_regularly(actor: WeakActorRef<Dispatch>, busy: Arc<Notify>) {
    let mut interval = IDLE_TICK_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = busy.notified(), if interval == IDLE_TICK_INTERVAL =>
                tokio::time::sleep(BUSY_TICK_INTERVAL).await,
        }
        let Some(actor) = actor.upgrade() else { return };
        match actor.ask(Tick).await {
            Ok(true) => interval = BUSY_TICK_INTERVAL,
            Ok(false) => interval = IDLE_TICK_INTERVAL,
            Err(_) => return,
        }
    }
}

impl Dispatch {
    fn now(&self) -> (Millis, Millis) {
        (self.clock.now(), clock::unix_time())
    }

    /// Executes the pending actions of the policy.
    fn run_actions(&mut self) {
        // A grant that can't be delivered frees a slot, which can lead to further actions.
        loop {
            let actions = self.policy.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.run_action(action);
            }
        }
        if self.policy.is_busy() {
            self.busy.notify_one();
        }
        self.metrics
            .waiting
            .set(i64::try_from(self.policy.waiting()).unwrap_or(i64::MAX));
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Grant(grant) => self.grant(grant),
            Action::Refuse(ticket, kind) => {
                if let Some(instructions) = self.instructions.remove(&ticket) {
                    // The request task may have ended already.
                    let _ = instructions.try_send(Instruction::Refuse(kind));
                }
            }
            Action::Move(ticket) => {
                if let Some(instructions) = self.instructions.get(&ticket) {
                    // If the channel is full, an earlier instruction to move is still pending.
                    let _ = instructions.try_send(Instruction::Move);
                }
            }
            Action::Veto(rollout) => self.publish_veto(rollout),
        }
    }

    fn grant(&mut self, grant: Grant) {
        let sent = self.assign(grant).and_then(|assignment| {
            let instructions = self.instructions.get(&grant.ticket)?;
            instructions
                .try_send(Instruction::Assign(Box::new(assignment)))
                .ok()
        });
        if sent.is_none() {
            self.instructions.remove(&grant.ticket);
            self.abandon(grant.ticket);
        }
    }

    fn assign(&mut self, grant: Grant) -> Option<Assignment> {
        let set = self.policy.set();
        let upstream = set.upstreams.get(grant.upstream)?;
        let version = grant.version.and_then(|key| set.versions.get(key));
        let idle = self.idle.entry(grant.upstream).or_default();
        idle.retain(Connection::is_open);
        Some(Assignment {
            ticket: grant.ticket,
            upstream: grant.upstream,
            address: upstream.meta.address.parse().ok()?,
            name: upstream.name.clone(),
            version: version.map(|version| version.name.clone()),
            connection: idle.pop(),
        })
    }

    fn finish(&mut self, ticket: arena::Ticket, report: Report) {
        let (now, unix) = self.now();
        self.policy.finish(now, unix, ticket, report);
    }

    fn abandon(&mut self, ticket: arena::Ticket) {
        let (now, unix) = self.now();
        self.policy.abandon(now, unix, ticket);
    }

    fn keep_idle(&mut self, upstream: arena::Upstream, connection: Option<Connection>) {
        let leaving = self
            .policy
            .pool()
            .get(upstream)
            .is_none_or(|state| state.leaving);
        let idle = self.idle.entry(upstream).or_default();
        if let Some(connection) = connection
            && !leaving
            && idle.len() < MAX_IDLE_CONNECTIONS
        {
            idle.push(connection);
        }
    }

    /// Publishes a veto to the other daemons.
    fn publish_veto(&mut self, key: arena::Rollout) {
        let set = self.policy.set();
        let Some(rollout) = set.rollouts.get(key) else {
            return;
        };
        let trial = self.policy.trials().get(&key);
        let reason = trial
            .and_then(|trial| trial.veto_reason())
            .unwrap_or_default()
            .to_owned();
        info!(self.log, "version_vetoed"; "rollout" => &rollout.name, "reason" => &reason);
        let key = Key::Veto(rollout.name.clone(), rollout.meta.deadline_unix_ms);
        if let Some(subscriber) = &self.subscriber {
            // Sending fails only during shutdown.
            let _ = subscriber
                .tell(Gossip(vec![(key, Value::Veto(reason))]))
                .try_send();
        }
    }

    /// Closes the tickets of requests that ended without a message, and drops idle connections that
    /// are closed or lead to removed upstreams.
    fn close_ended(&mut self) {
        let ended = self
            .instructions
            .iter()
            .filter(|(_, instructions)| instructions.is_closed());
        let ended = ended.map(|(ticket, _)| *ticket).collect::<Vec<_>>();
        for ticket in ended {
            self.instructions.remove(&ticket);
            self.abandon(ticket);
        }
        let set = self.policy.set();
        self.idle.retain(|key, idle| {
            idle.retain(Connection::is_open);
            set.upstreams.get(*key).is_some()
        });
    }
}
