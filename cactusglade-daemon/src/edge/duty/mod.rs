//! Service that competes for the lease on the duties, and carries them out while it holds the
//! lease.
//!
//! Duties are what only one daemon at a time does for the fleet: usage reports, capacity orders and
//! rolling back rollouts.

mod capacity;
mod election;
mod leased;
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
use cactusglade_policy::capacity::Sight;
use cactusglade_policy::usage::Ledger;
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
use crate::edge::broker::Inventory;
use crate::edge::mesh;
use crate::edge::mesh::Fleet;
use crate::edge::mesh::Mesh;
use crate::metrics::Metrics;

use capacity::Capacity;
use election::Election;
use leased::Leased;
use usage::Usage;

/// Name of the service.
pub const NAME: &str = "duty";
/// Interval between two rounds of checking what is due.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

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
    pub report_within: Millis,
    /// Names of all availability zones.
    pub zones: Vec<String>,
    /// Whether the registry of upstreams can't be read.
    pub registry_outage: watch::Receiver<bool>,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Era of the store after it was last restored from a copy.
    pub eras: watch::Receiver<u64>,
    /// Monotonic clock of the daemon.
    pub clock: Clock,
    /// Log of the daemon.
    pub log: Logger,
}

/// `Duty` owns this daemon's view of the lease and the state of the duties.
pub struct Duty<P: Platform> {
    options: Options<P>,
    election: Election<P::Store>,
    usage: Usage<P::Store>,
    capacity: Capacity,
    /// Revisions of the rollout orders that this daemon has reported as rolled back.
    rolled_back: BTreeSet<Revision>,
}

struct Round;

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
            election: Election::new(store.clone(), &holder, options.log.clone()),
            usage: Usage::new(store, &options),
            capacity: Capacity::new(&options),
            rolled_back: BTreeSet::new(),
            options,
        })
    }
}

/// Starts a round after each interval, never before the last round has ended.
async fn tick<P: Platform>(actor: WeakActorRef<Duty<P>>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Round).await.is_err() {
            return;
        }
    }
}

impl<P: Platform> Message<Round> for Duty<P> {
    type Reply = ();

    async fn handle(&mut self, _: Round, _: &mut Context<Self, ()>) {
        let clock = self.options.clock;
        // Both services stop after this one, so the calls succeed.
        let fleet = self
            .options
            .mesh
            .ask(mesh::Inspect)
            .await
            .unwrap_or_default();
        let inventory = self
            .options
            .broker
            .ask(broker::Survey)
            .await
            .unwrap_or_default();
        self.observe(&fleet, &inventory);
        if let Some(ledger) = &fleet.ledger {
            self.publish(ledger).await;
            self.capacity.wake(clock.now());
        }
        self.election
            .acquire_or_renew(clock, fleet.lease.clone())
            .await;
        let now = clock.now();
        self.capacity.wake(now);
        self.election
            .log_transition(now, self.capacity.observed(now));
        let held = self
            .election
            .fencing_token(now)
            .zip(self.election.held_until(now));
        // The mesh stops after this service.
        let _ = self
            .options
            .mesh
            .tell(mesh::Leadership(self.election.held_lease(clock.now())))
            .await;
        let Some((fencing_token, until)) = held else {
            self.capacity.release();
            return;
        };
        let holder = Holder {
            name: self.options.name.clone(),
            fencing_token,
            until: clock.uptime_at(until),
        };
        self.carry_out(&holder, until, &fleet, &inventory).await;
    }
}

impl<P: Platform> Duty<P> {
    /// Brings the capacity plans up to date, whether or not this daemon holds the lease.
    fn observe(&mut self, fleet: &Fleet, inventory: &Inventory) {
        let now = self.options.clock.now();
        let sight = Sight {
            has_registry: !*self.options.registry_outage.borrow(),
            has_fleet: fleet.reachable * 2 >= fleet.daemons,
        };
        let is_holder = self.election.fencing_token(now).is_some();
        self.capacity.check(now, sight, is_holder);
        let catalog = self.options.catalogs.borrow().clone();
        self.capacity.observe(now, &catalog, fleet, inventory);
    }

    /// Carries out what is due while the lease is held without another renewal, until `until`.
    async fn carry_out(
        &mut self,
        holder: &Holder,
        until: Millis,
        fleet: &Fleet,
        inventory: &Inventory,
    ) {
        let clock = self.options.clock;
        let report = Leased::new(self.options.platform.report(), clock, until);
        self.roll_back(report).await;
        self.capacity.wake(clock.now());
        let provider = Leased::new(self.options.platform.provider(), clock, until);
        let catalog = self.options.catalogs.borrow().clone();
        let tenure = self.election.tenure();
        self.usage
            .report(&provider, holder, tenure, &catalog, &fleet.counted)
            .await;
        let now = clock.now();
        self.capacity.wake(now);
        let orders = self.capacity.orders(now, &catalog, &inventory.evacuated);
        for order in orders {
            if !provider.is_held() {
                return;
            }
            self.capacity.send(&provider, holder, order).await;
            self.capacity.wake(clock.now());
        }
    }

    /// Writes the zone's ledger to the store where that is due.
    async fn publish(&mut self, ledger: &Ledger) {
        if self.options.eras.has_changed().unwrap_or(false) {
            self.options.eras.mark_unchanged();
            self.usage.republish();
        }
        if let Some(is_stored) = self.usage.publish(ledger).await {
            let reachability = mesh::Reachability {
                is_store_unreachable: !is_stored,
            };
            // The mesh stops after this service.
            let _ = self.options.mesh.tell(reachability).await;
        }
    }

    /// Reports every ordered rollout as rolled back, so that none stays pending.
    async fn roll_back(&mut self, report: impl Report) {
        let rollouts = self.options.rollouts.borrow().clone();
        for rollout in rollouts.values() {
            if self.rolled_back.contains(&rollout.revision) {
                continue;
            }
            match report.rolled_back(rollout).await {
                Ok(()) => {
                    self.rolled_back.insert(rollout.revision);
                    info!(self.options.log, "rollout_taken_back"; "service" => &rollout.service,
                        "to" => &rollout.to, "revision" => rollout.revision.number,
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
        let fleet = self.options.mesh.ask(mesh::Inspect).await;
        if let Some(ledger) = fleet.ok().and_then(|fleet| fleet.ledger) {
            self.usage.flush(&ledger).await;
        }
    }
}
