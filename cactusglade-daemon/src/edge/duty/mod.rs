//! Service that competes for the lease on the duties, and carries them out while it holds the
//! lease.
//!
//! Duties are what only one daemon at a time does for the fleet: usage reports, capacity orders and
//! rolling back rollouts.

mod capacity;
mod hold;
mod usage;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_link::clock::Clock;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Report;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Rollout;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::message::Context;
use kameo::message::Message;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::watch;

use crate::edge::broker;
use crate::edge::broker::Broker;
use crate::edge::mesh;
use crate::edge::mesh::Mesh;

use capacity::Capacity;
use hold::Hold;
use usage::Usage;

/// Name of the service.
pub const NAME: &str = "duty";
/// Interval between two rounds of checking what is due.
const EVERY: Duration = Duration::from_millis(400);

/// `Options` of the service.
#[derive(Debug)]
pub struct Options<P> {
    /// Name of the daemon, by which the lease and the reports name the holder.
    pub name: String,
    /// Platform that the duties are carried out on.
    pub platform: P,
    /// Broker, which knows the upstreams.
    pub broker: ActorRef<Broker>,
    /// Mesh, which knows the state of the fleet.
    pub mesh: ActorRef<Mesh>,
    /// Catalog in force.
    pub catalogs: watch::Receiver<Arc<Catalog>>,
    /// Rollouts that operators have ordered, by service.
    pub rollouts: watch::Receiver<BTreeMap<String, Rollout>>,
    /// Length of the windows of usage reports.
    pub window: Millis,
    /// Time after the end of a window by which its report must arrive.
    pub late: Millis,
    /// Names of all availability zones.
    pub zones: Vec<String>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
}

/// `Duty` owns this daemon's view of the lease and the state of the duties.
pub struct Duty<P: Platform> {
    options: Options<P>,
    hold: Hold<P::Store>,
    usage: Usage<P::Store>,
    capacity: Capacity,
    /// Revisions of the rollout orders that this daemon has reported as rolled back.
    taken_back: BTreeSet<Revision>,
}

struct Look;

/// `Flush` writes the zone's request counts to the store before the daemon stops.
#[derive(Clone, Copy, Debug)]
pub struct Flush;

impl<P: Platform> Actor for Duty<P> {
    type Args = Options<P>;
    type Error = Infallible;

    async fn on_start(options: Options<P>, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        tokio::spawn(tick(actor.downgrade()));
        let store = options.platform.store();
        let holder = format!("{}/{}", options.name, clock::unix_time().0);
        Ok(Self {
            hold: Hold::new(store.clone(), &holder, options.log.clone()),
            usage: Usage::new(store, &options),
            capacity: Capacity::new(&options),
            taken_back: BTreeSet::new(),
            options,
        })
    }
}

/// Starts a round after each interval, never before the last round has ended.
async fn tick<P: Platform>(actor: WeakActorRef<Duty<P>>) {
    loop {
        tokio::time::sleep(EVERY.mul_f64(rand::random_range(0.8..1.2))).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Look).await.is_err() {
            return;
        }
    }
}

impl<P: Platform> Message<Look> for Duty<P> {
    type Reply = ();

    async fn handle(&mut self, _: Look, _: &mut Context<Self, ()>) {
        let clock = self.options.clock;
        // Both services stop after this one, so the calls succeed.
        let fleet = self.options.mesh.ask(mesh::Query).await.unwrap_or_default();
        let inventory = self
            .options
            .broker
            .ask(broker::Survey)
            .await
            .unwrap_or_default();
        if let Some(ledger) = &fleet.ledger
            && let Some(is_stored) = self.usage.publish(ledger).await
        {
            let is_store_unreachable = !is_stored;
            let _ = self
                .options
                .mesh
                .tell(mesh::Reachability {
                    is_store_unreachable,
                })
                .await;
        }
        self.hold.keep(clock, fleet.lease.clone()).await;
        let fence = self.hold.fence(clock.now());
        // The mesh stops after this service.
        let _ = self
            .options
            .mesh
            .tell(mesh::Leadership(self.hold.held(clock.now())))
            .await;
        let Some(fence) = fence else {
            self.capacity.rest();
            return;
        };
        let holder = Holder {
            name: self.options.name.clone(),
            fencing_token: fence,
        };
        self.take_back().await;
        let provider = self.options.platform.provider();
        let catalog = self.options.catalogs.borrow().clone();
        let holds = || self.hold.fence(clock.now()).is_some();
        self.usage.report(&provider, &holder, &catalog, holds).await;
        let orders = self
            .capacity
            .orders(clock.now(), &catalog, &fleet, &inventory);
        for order in orders {
            // A holder that was suspended meanwhile must not give orders once it has been replaced.
            if self.hold.fence(clock.now()).is_none() {
                return;
            }
            self.capacity.give(&provider, &holder, order).await;
        }
    }
}

impl<P: Platform> Duty<P> {
    /// Reports every ordered rollout as rolled back, so that none stays pending.
    async fn take_back(&mut self) {
        let rollouts = self.options.rollouts.borrow().clone();
        for rollout in rollouts.values() {
            if self.taken_back.contains(&rollout.revision) {
                continue;
            }
            match self.options.platform.report().rolled_back(rollout).await {
                Ok(()) => {
                    self.taken_back.insert(rollout.revision);
                    info!(self.options.log, "rollout_taken_back"; "service" => &rollout.service,
                        "to" => &rollout.to, "revision" => rollout.revision.0,
                        "within_ms" => rollout.time_limit.0);
                }
                Err(error) => {
                    warn!(self.options.log, "rollout_unreported"; "service" => &rollout.service,
                        "to" => &rollout.to, "reason" => %error);
                }
            }
        }
    }
}

impl<P: Platform> Message<Flush> for Duty<P> {
    type Reply = ();

    async fn handle(&mut self, _: Flush, _: &mut Context<Self, ()>) {
        // The mesh stops after this service.
        let fleet = self.options.mesh.ask(mesh::Query).await;
        if let Some(ledger) = fleet.ok().and_then(|fleet| fleet.ledger) {
            self.usage.flush(&ledger).await;
        }
    }
}
