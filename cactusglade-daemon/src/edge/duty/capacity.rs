//! Orders for upstreams, by the work that all daemons send to each service.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_policy::affinity;
use cactusglade_policy::capacity::Plan;
use cactusglade_policy::capacity::Zone;
use cactusglade_wire::port;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Provider;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::edge::broker::Standing;
use crate::edge::mesh::Fleet;

use super::Options;

/// Times over which the work a second is averaged, in milliseconds; the greater mean counts, so
/// that a rise shows at once and a short lull does not.
const AVERAGES_MS: [f64; 2] = [1_500.0, 4_000.0];

/// `Capacity` decides on orders while its daemon holds the duties.
#[derive(Debug)]
pub struct Capacity {
    zones: Vec<String>,
    services: BTreeMap<String, Load>,
    log: Logger,
}

#[derive(Debug, Default)]
struct Load {
    plan: Plan,
    /// Total of work at the last look.
    total: Option<u64>,
    looked: Millis,
    /// Upstreams that the work keeps busy, by the span of the mean.
    means: [f64; 2],
}

impl Capacity {
    /// Starts without any knowledge of the load.
    pub fn new<P: Platform>(options: &Options<P>) -> Self {
        Self {
            zones: options.zones.clone(),
            services: BTreeMap::new(),
            log: options.log.clone(),
        }
    }

    /// Forgets what was ordered, since another daemon gives the orders now.
    pub fn rest(&mut self) {
        self.services.clear();
    }

    /// The orders to give now.
    pub fn orders(
        &mut self,
        now: Millis,
        catalog: &Catalog,
        fleet: &Fleet,
        standing: &Standing,
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
            let has = standing.staying.get(&service.name);
            let has = |zone: &String| has.and_then(|has| has.get(zone)).copied();
            let zones = self.zones.iter();
            let zones = zones.map(|zone| (zone.clone(), has(zone).unwrap_or_default()));
            let zones = zones.collect::<BTreeMap<String, Zone>>();
            load.measure(now, total, &zones);
            let given = load.plan.orders(now, scale, &zones);
            orders.extend(given.into_iter().map(|order| port::Capacity {
                service: service.name.clone(),
                zone: order.zone,
                reclaimable: order.reclaimable,
                count: order.count,
            }));
        }
        orders
    }

    /// Gives one order.
    pub async fn give(&mut self, provider: &impl Provider, holder: &Holder, order: port::Capacity) {
        let load = self.services.entry(order.service.clone()).or_default();
        let (need, busy) = (load.plan.need(), load.busy());
        match provider.order_capacity(holder, &order).await {
            Ok(()) => {
                info!(self.log, "capacity_ordered"; "service" => &order.service,
                    "zone" => &order.zone, "reclaimable" => order.reclaimable,
                    "count" => order.count, "need" => need, "busy" => busy,
                    "fence" => holder.fencing_token);
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
    fn busy(&self) -> f64 {
        self.means.iter().copied().fold(0.0, f64::max)
    }

    #[allow(clippy::cast_precision_loss)]
    fn measure(&mut self, now: Millis, total: u64, zones: &BTreeMap<String, Zone>) {
        let span = (now - self.looked).0 as f64;
        if let Some(before) = self.total
            && span > 0.0
        {
            let busy = total.saturating_sub(before) as f64 / span;
            for (mean, average) in self.means.iter_mut().zip(AVERAGES_MS) {
                *mean += (busy - *mean) * (span / average).min(1.0);
            }
        }
        self.total = Some(total);
        self.looked = now;
        self.plan.measure(now, self.busy(), zones);
    }
}
