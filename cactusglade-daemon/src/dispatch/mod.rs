//! The service that owns the dispatch policy and the idle connections to upstreams.
//!
//! A request sends one message to be admitted and one when it is done; what it is to do comes
//! back through its own channel of orders. See `docs/DESIGN.md`.

pub mod messages;
mod replies;

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
use crate::peer::messages::Spread;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_link::link::Connection;

pub use messages::Adopt;
pub use messages::Again;
pub use messages::Arrive;
pub use messages::Finish;
pub use messages::Introduce;
pub use messages::Learn;
pub use messages::Lesson;
pub use messages::Order;
pub use messages::Start;
pub use messages::Summarise;
pub use messages::Summary;
pub use messages::Tick;
pub use messages::Watch;
pub use messages::Watched;

/// Name of the service.
pub const NAME: &str = "dispatch";
/// Time between two ticks while requests wait or upstreams leave.
const BUSY: Duration = Duration::from_millis(20);
/// Time between two ticks otherwise.
const IDLE: Duration = Duration::from_millis(250);
/// Idle connections that are kept for one upstream.
const MAX_IDLE: usize = 64;

/// `Options` of the service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Availability zone of the daemon.
    pub zone: String,
    /// Requests that may wait.
    pub max_waiting: usize,
    /// The daemon's clock.
    pub clock: Clock,
    /// The daemon's log.
    pub log: Logger,
    /// The daemon's metrics.
    pub metrics: Metrics,
}

/// `Dispatch` owns the policy.
#[derive(Debug)]
pub struct Dispatch {
    policy: policy::Dispatch<Cheapest>,
    orders: BTreeMap<arena::Ticket, mpsc::Sender<Order>>,
    idle: BTreeMap<arena::Upstream, Vec<Connection>>,
    spread: Option<Recipient<Spread>>,
    /// Wakes the task that sends ticks.
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
        tokio::spawn(tick(actor.downgrade(), busy.clone()));
        Ok(Self {
            busy,
            policy: policy::Dispatch::new(&options.zone, Cheapest, options.max_waiting),
            orders: BTreeMap::new(),
            idle: BTreeMap::new(),
            spread: None,
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
        self.orders.clear();
        Ok(())
    }
}

/// Sends ticks until the service has ended, more often while there is cause.
async fn tick(actor: WeakActorRef<Dispatch>, busy: Arc<Notify>) {
    let mut pause = IDLE;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = busy.notified(), if pause == IDLE => tokio::time::sleep(BUSY).await,
        }
        let Some(actor) = actor.upgrade() else { return };
        match actor.ask(Tick).await {
            Ok(true) => pause = BUSY,
            Ok(false) => pause = IDLE,
            Err(_) => return,
        }
    }
}

impl Dispatch {
    fn now(&self) -> (Millis, Millis) {
        (self.clock.now(), clock::unix_time())
    }

    /// Carries out what the policy has decided.
    fn act(&mut self) {
        // Carrying out a grant may free a place, which brings further actions.
        loop {
            let actions = self.policy.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out(action);
            }
        }
        if self.policy.is_busy() {
            self.busy.notify_one();
        }
        self.metrics
            .waiting
            .set(i64::try_from(self.policy.waiting()).unwrap_or(i64::MAX));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Grant(grant) => self.grant(grant),
            Action::Refuse(ticket, kind) => {
                if let Some(orders) = self.orders.remove(&ticket) {
                    // The request may have gone away.
                    let _ = orders.try_send(Order::Refuse(kind));
                }
            }
            Action::Move(ticket) => {
                if let Some(orders) = self.orders.get(&ticket) {
                    // A full channel means that it is moving already.
                    let _ = orders.try_send(Order::Move);
                }
            }
            Action::Veto(rollout) => self.veto(rollout),
        }
    }

    fn grant(&mut self, grant: Grant) {
        let sent = self.start(grant).and_then(|start| {
            let orders = self.orders.get(&grant.ticket)?;
            orders.try_send(Order::Start(Box::new(start))).ok()
        });
        if sent.is_none() {
            self.orders.remove(&grant.ticket);
            self.abandon(grant.ticket);
        }
    }

    fn start(&mut self, grant: Grant) -> Option<Start> {
        let set = self.policy.set();
        let upstream = set.upstreams.get(grant.upstream)?;
        let version = grant.version.and_then(|key| set.versions.get(key));
        let idle = self.idle.entry(grant.upstream).or_default();
        idle.retain(Connection::is_open);
        Some(Start {
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

    fn keep(&mut self, upstream: arena::Upstream, connection: Option<Connection>) {
        let leaving = self
            .policy
            .pool()
            .get(upstream)
            .is_none_or(|state| state.leaving);
        let idle = self.idle.entry(upstream).or_default();
        if let Some(connection) = connection
            && !leaving
            && idle.len() < MAX_IDLE
        {
            idle.push(connection);
        }
    }

    /// Makes a veto known to the other daemons.
    fn veto(&mut self, key: arena::Rollout) {
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
        if let Some(spread) = &self.spread {
            // The peer service ends before this one only when the daemon does.
            let _ = spread
                .tell(Spread(vec![(key, Value::Veto(reason))]))
                .try_send();
        }
    }

    /// Frees what requests hold that went away without a word.
    fn sweep(&mut self) {
        let gone = self.orders.iter().filter(|(_, orders)| orders.is_closed());
        let gone = gone.map(|(ticket, _)| *ticket).collect::<Vec<_>>();
        for ticket in gone {
            self.orders.remove(&ticket);
            self.abandon(ticket);
        }
        let set = self.policy.set();
        self.idle.retain(|key, idle| {
            idle.retain(Connection::is_open);
            set.upstreams.get(*key).is_some()
        });
    }
}
