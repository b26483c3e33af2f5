//! Capacity plans and orders: how many upstreams each service gets, by the work that all daemons send
//! to it.
//!
//! Every daemon keeps the plans, so that a successor in the duties orders at once. See
//! `docs/design/succession.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::capacity;
use cactusglade_policy::capacity::Cause;
use cactusglade_policy::capacity::Observation;
use cactusglade_policy::capacity::Plan;
use cactusglade_policy::capacity::Sight;
use cactusglade_policy::capacity::Zone;
use cactusglade_wire::port;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Provider;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::edge::broker::Inventory;
use crate::edge::mesh::Fleet;
use crate::metrics::Plans;

use super::Options;
use super::leased;

/// Time constants of the two running means of the load, in milliseconds. The greater mean counts,
/// so that the plan follows a rise at once and ignores a short lull.
const TIME_CONSTANTS_MS: [f64; 2] = [1_500.0, 4_000.0];

/// `Capacity` keeps the capacity plans of all services, and orders by them while its daemon holds the
/// lease on the duties.
#[derive(Debug)]
pub struct Capacity {
    zones: Vec<String>,
    services: BTreeMap<String, Load>,
    observation: Observation,
    /// Why the plans were discarded in the last round, if they were.
    break_cause: Option<Cause>,
    metrics: Plans,
    log: Logger,
}

#[derive(Debug, Default)]
struct Load {
    plan: Plan,
    /// Total work at the last measurement, in milliseconds of one upstream's time.
    total: Option<u64>,
    measured_at: Millis,
    /// Running means of the number of upstreams that the work keeps busy, by time constant.
    busy_means: [f64; 2],
    /// Upstreams in each zone at the last measurement.
    counts: BTreeMap<String, Zone>,
    /// Whether it was logged that orders wait for the upstreams of a withheld version.
    has_logged_hold: bool,
}

impl Capacity {
    /// Starts with no service measured.
    pub fn new<P: Platform>(options: &Options<P>) -> Self {
        Self {
            zones: options.zones.clone(),
            services: BTreeMap::new(),
            observation: Observation::default(),
            break_cause: None,
            metrics: options.metrics.plans.clone(),
            log: options.log.clone(),
        }
    }

    /// Records that the daemon runs, after a call that a round waited for.
    pub fn wake(&mut self, now: Millis) {
        self.observation.wake(now);
    }

    /// Returns for how long the plans have observed, by the one that has done so for the shortest time.
    pub fn observed(&self, now: Millis) -> Millis {
        let spans = self.services.values().map(|load| load.plan.observed(now));
        spans.min().unwrap_or_default()
    }

    /// Checks what the daemon can see before it observes, unless it holds the lease.
    ///
    /// Plans are discarded where too little of the time since they began was seen. A holder keeps
    /// its plans: it orders by what it knows until it loses the lease.
    pub fn check(&mut self, now: Millis, sight: Sight, is_holder: bool) {
        let cause = self.observation.record(now, sight);
        let cause = cause.filter(|_| !is_holder);
        if let Some(cause) = cause {
            if self.break_cause != Some(cause) && !self.services.is_empty() {
                let observed = self.observed(now);
                info!(self.log, "capacity_unobserved"; "cause" => cause.name(),
                    "observed_ms" => observed.0);
                let breaks = &self.metrics.breaks;
                breaks.with_label_values(&[cause.name()]).inc();
            }
            self.services.clear();
        }
        self.break_cause = cause;
    }

    /// Measures the load of each service and brings its plan up to date.
    #[allow(clippy::cast_precision_loss)]
    pub fn observe(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        fleet: &Fleet,
        inventory: &Inventory,
    ) {
        for (_, service) in catalog.services.iter() {
            let Some(scale) = &service.scale else {
                continue;
            };
            let total = fleet
                .work
                .get(&affinity::short_hash(&service.name))
                .copied()
                .unwrap_or_default();
            let load = self.services.entry(service.name.clone()).or_default();
            let available = inventory.available.get(&service.name);
            let count = |zone: &String| available.and_then(|zones| zones.get(zone)).copied();
            let zones = self.zones.iter();
            let zones = zones.map(|zone| (zone.clone(), count(zone).unwrap_or_default()));
            load.counts = zones.collect();
            let delay = inventory.delays.get(&service.name).copied();
            load.measure(now, total, capacity::pressure(delay.unwrap_or_default()));
            let impaired = inventory.impaired.get(&service.name).copied();
            load.plan.set_impaired(impaired.unwrap_or_default());
            load.plan.set_evacuated(&inventory.evacuated);
            load.plan.observe(now, scale, &load.counts);
        }
        let observed = self.observed(now).0 as f64 / 1_000.0;
        self.metrics.observed.set(observed);
    }

    /// Discards the records of orders, since another daemon may place orders now.
    pub fn release(&mut self) {
        for load in self.services.values_mut() {
            load.plan.release();
            load.has_logged_hold = false;
        }
    }

    /// Returns the orders that are due by the last observation.
    pub fn orders(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        evacuated: &BTreeSet<String>,
    ) -> Vec<port::Capacity> {
        let mut orders = Vec::new();
        for (_, service) in catalog.services.iter() {
            let load = self.services.get_mut(&service.name);
            let Some((scale, load)) = service.scale.as_ref().zip(load) else {
                continue;
            };
            let due = load.plan.orders(now, scale, &load.counts);
            if load.plan.is_held() && !load.has_logged_hold {
                let withheld = load.counts.values().map(|zone| zone.withheld).sum::<u64>();
                info!(self.log, "capacity_held"; "service" => &service.name,
                    "withheld" => withheld);
            }
            load.has_logged_hold = load.plan.is_held();
            if !due.is_empty() && !evacuated.is_empty() {
                let evacuated = evacuated.iter().map(String::as_str);
                info!(self.log, "capacity_left_out"; "service" => &service.name,
                    "zones" => evacuated.collect::<Vec<_>>().join(","));
            }
            orders.extend(due.into_iter().map(|order| port::Capacity {
                service: service.name.clone(),
                zone: order.zone,
                reclaimable: order.reclaimable,
                count: order.count,
            }));
        }
        orders
    }

    /// Sends one order to the provider.
    pub async fn send(&mut self, provider: &impl Provider, holder: &Holder, order: port::Capacity) {
        let load = self.services.entry(order.service.clone()).or_default();
        let (need, busy) = (load.plan.need(), load.busy());
        match provider.order_capacity(holder, &order).await {
            Ok(()) => {
                info!(self.log, "capacity_ordered"; "service" => &order.service,
                    "zone" => &order.zone, "reclaimable" => order.reclaimable,
                    "count" => order.count, "need" => need, "busy" => busy,
                    "fence" => holder.fencing_token, "lease_left_ms" => leased::left_ms(holder));
            }
            Err(error) => {
                warn!(self.log, "capacity_refused"; "service" => &order.service,
                    "zone" => &order.zone, "reclaimable" => order.reclaimable,
                    "count" => order.count, "reason" => %error);
                if error == port::Error::Unknown {
                    load.plan.forget_order(&order.zone, order.reclaimable);
                }
            }
        }
    }
}

impl Load {
    /// Returns the number of upstreams that the work keeps busy.
    fn busy(&self) -> f64 {
        self.busy_means.iter().copied().fold(0.0, f64::max)
    }

    #[allow(clippy::cast_precision_loss)]
    fn measure(&mut self, now: Millis, total: u64, pressure: f64) {
        let span = (now - self.measured_at).0 as f64;
        if let Some(before) = self.total
            && span > 0.0
        {
            let busy = total.saturating_sub(before) as f64 / span * pressure;
            for (mean, time_constant) in self.busy_means.iter_mut().zip(TIME_CONSTANTS_MS) {
                *mean += (busy - *mean) * (span / time_constant).min(1.0);
            }
        }
        self.total = Some(total);
        self.measured_at = now;
        self.plan.measure(now, self.busy(), &self.counts);
    }
}
