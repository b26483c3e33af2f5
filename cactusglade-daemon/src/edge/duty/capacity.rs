//! Capacity orders: how many upstreams each service gets, by the work that all daemons send to it.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::capacity;
use cactusglade_policy::capacity::Plan;
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

use super::Options;
use super::leased;

/// Time constants of the two running means of the load, in milliseconds. The greater mean counts,
/// so that the plan follows a rise at once and ignores a short lull.
const TIME_CONSTANTS_MS: [f64; 2] = [1_500.0, 4_000.0];

/// `Capacity` decides on capacity orders while its daemon holds the lease on the duties.
#[derive(Debug)]
pub struct Capacity {
    zones: Vec<String>,
    services: BTreeMap<String, Load>,
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
}

impl Capacity {
    /// Starts with no service measured.
    pub fn new<P: Platform>(options: &Options<P>) -> Self {
        Self {
            zones: options.zones.clone(),
            services: BTreeMap::new(),
            log: options.log.clone(),
        }
    }

    /// Discards all plans, since another daemon gives the orders now.
    pub fn reset(&mut self) {
        self.services.clear();
    }

    /// Measures the load of each service and returns the orders that are due.
    pub fn orders(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        fleet: &Fleet,
        inventory: &Inventory,
    ) -> Vec<port::Capacity> {
        let mut orders = Vec::new();
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
            let zones = zones.collect::<BTreeMap<String, Zone>>();
            let delay = inventory.delays.get(&service.name).copied();
            let pressure = capacity::pressure(delay.unwrap_or_default());
            load.measure(now, total, pressure, &zones);
            let impaired = inventory.impaired.get(&service.name).copied();
            load.plan.set_impaired(impaired.unwrap_or_default());
            load.plan.set_evacuated(&inventory.evacuated);
            let was_held = load.plan.is_held();
            let due = load.plan.orders(now, scale, &zones);
            if load.plan.is_held() && !was_held {
                let withheld = zones.values().map(|zone| zone.withheld).sum::<u64>();
                info!(self.log, "capacity_held"; "service" => &service.name,
                    "withheld" => withheld);
            }
            if !due.is_empty() && !inventory.evacuated.is_empty() {
                let evacuated = inventory.evacuated.iter().map(String::as_str);
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
    fn measure(&mut self, now: Millis, total: u64, pressure: f64, zones: &BTreeMap<String, Zone>) {
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
        self.plan.measure(now, self.busy(), zones);
    }
}
