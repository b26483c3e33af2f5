//! Plan of one service's upstreams, which is kept up to date whether or not orders are placed by it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;

use super::Order;
use super::TARGET_UTILISATION;
use super::Zone;
use super::targets::Demand;

/// Time after a reclaim within which further reclaims are expected.
const RECLAIM_WAVE: Millis = Millis(15_000);
/// Share of the planned need below which the need must fall before fewer upstreams are ordered.
const SCALE_DOWN_RATIO: f64 = 0.8;
/// Time for which a new plan observes the upstreams before it places orders; upstreams that start
/// together register within one or two of their heartbeats.
pub const OBSERVATION_PERIOD: Millis = Millis(3_000);
/// Assumed ratio of existing to needed upstreams when a plan starts. Plans order more than two per
/// needed upstream, but the load of the first seconds is unknown and may be a surge.
const ASSUMED_SURPLUS_RATIO: f64 = 1.5;
/// Minimum need in upstreams, whatever the load.
const MIN_NEED: f64 = 3.0;
/// Time beyond the boot time after which an unfulfilled order is repeated.
const REORDER_DELAY: Millis = Millis(1_000);
/// Longest time for which orders wait until the upstreams of a withheld version have left. The
/// provider removes them some seconds after a rollout was rolled back.
const MAX_HOLD: Millis = Millis(20_000);
/// Maximum relative decrease of the need per second, so that a lull doesn't remove the capacity for
/// the next wave.
const MAX_DECREASE_PER_S: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct Ordered {
    count: u64,
    at: Millis,
}

/// `Plan` decides the orders for one service.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    need: f64,
    /// Need on which orders are based; it follows `need` with hysteresis.
    planned_need: f64,
    /// Upstreams' worth of work that limited upstreams don't take, with the same hysteresis.
    impaired: f64,
    measured: Option<Millis>,
    /// When upstreams were first seen.
    started: Option<Millis>,
    /// When reclaimable upstreams were last reclaimed.
    reclaimed: Option<Millis>,
    /// Number of reclaimable upstreams at the last call.
    reclaimable: u64,
    /// Numbers of upstreams that the open zones should have had at the last call.
    targets: BTreeMap<String, Zone>,
    /// Zones that the operators evacuate, where nothing counts and nothing is ordered.
    evacuated: BTreeSet<String>,
    /// Since when there have been upstreams of a withheld version.
    held: Option<Millis>,
    /// Orders that this daemon has placed while it held the lease without a break.
    ordered: BTreeMap<(String, bool), Ordered>,
}

impl Plan {
    /// Records the load of a service, as the number of upstreams that it keeps busy.
    ///
    /// A new plan doesn't know the load yet; it derives the need from the existing upstreams and
    /// lets it decrease from there.
    #[allow(clippy::cast_precision_loss)]
    pub fn measure(&mut self, now: Millis, busy: f64, zones: &BTreeMap<String, Zone>) {
        let need = (busy / TARGET_UTILISATION).max(MIN_NEED);
        let existing = zones.values().map(|zone| zone.on_demand + zone.reclaimable);
        let existing = existing.sum::<u64>() as f64;
        if existing == 0.0 && self.started.is_none() {
            return;
        }
        let started = *self.started.get_or_insert(now);
        let decayed = match self.measured {
            _ if now - started < OBSERVATION_PERIOD => {
                self.need.max(existing / ASSUMED_SURPLUS_RATIO)
            }
            Some(measured) if busy > 0.0 => {
                let span = (now - measured).0 as f64 / 1_000.0;
                self.need * (1.0 - MAX_DECREASE_PER_S * span.min(1.0))
            }
            _ => self.need,
        };
        self.need = need.max(decayed);
        self.measured = Some(now);
        if self.need > self.planned_need || self.need < self.planned_need * SCALE_DOWN_RATIO {
            self.planned_need = self.need;
        }
    }

    /// Records how many upstreams' worth of work the limited ones don't take.
    pub fn set_impaired(&mut self, impaired: f64) {
        if impaired > self.impaired || impaired < self.impaired * SCALE_DOWN_RATIO {
            self.impaired = impaired;
        }
    }

    /// Sets the zones that the operators evacuate.
    pub fn set_evacuated(&mut self, zones: &BTreeSet<String>) {
        if self.evacuated != *zones {
            self.evacuated.clone_from(zones);
            // Upstreams that count no more, or again, are neither reclaimed nor new.
            self.reclaimable = 0;
        }
    }

    /// Returns the number of upstreams that are needed.
    #[must_use]
    pub const fn need(&self) -> f64 {
        self.need
    }

    /// Returns whether orders wait until the upstreams of a withheld version have left.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Discards the record of an order whose delivery is unknown, so that it is repeated.
    pub fn forget_order(&mut self, zone: &str, reclaimable: bool) {
        self.ordered.remove(&(zone.to_owned(), reclaimable));
    }

    /// Returns for how long the plan has observed the upstreams.
    #[must_use]
    pub fn observed(&self, now: Millis) -> Millis {
        self.started.map_or(Millis(0), |started| now - started)
    }

    /// Discards the records of orders, since another daemon may place orders now.
    ///
    /// The next orders then set every count that differs from what exists. Repeating an order that is
    /// in force changes nothing.
    pub fn release(&mut self) {
        self.ordered.clear();
    }

    /// Brings the plan up to date without placing orders; returns whether orders may be placed.
    pub fn observe(&mut self, now: Millis, scale: &Scale, zones: &BTreeMap<String, Zone>) -> bool {
        if self.started.is_none() || self.observed(now) < OBSERVATION_PERIOD {
            return false;
        }
        let open = zones
            .iter()
            .filter(|(zone, _)| !self.evacuated.contains(*zone));
        let open = open.map(|(zone, count)| (zone.clone(), *count));
        let open = open.collect::<BTreeMap<_, _>>();
        if self.hold(now, &open) {
            return false;
        }
        self.detect_reclaim(now, &open);
        let demand = Demand {
            need: self.planned_need,
            impaired: self.impaired,
            is_wave: self.reclaimed.is_some_and(|at| now - at < RECLAIM_WAVE),
        };
        self.targets = demand.targets(scale, &open, zones);
        true
    }

    /// Brings the plan up to date and returns the orders to place now.
    pub fn orders(
        &mut self,
        now: Millis,
        scale: &Scale,
        zones: &BTreeMap<String, Zone>,
    ) -> Vec<Order> {
        if !self.observe(now, scale, zones) {
            return Vec::new();
        }
        let reorder_after = scale.boot_time + REORDER_DELAY;
        let mut orders = Vec::new();
        for (zone, target) in &self.targets {
            let existing = zones.get(zone).copied().unwrap_or_default();
            for (reclaimable, count, existing) in [
                (true, target.reclaimable, existing.reclaimable),
                (false, target.on_demand, existing.on_demand),
            ] {
                let key = (zone.clone(), reclaimable);
                let ordered = self.ordered.get(&key);
                let is_new = ordered.map_or(count != existing, |ordered| ordered.count != count);
                let is_late = count > existing
                    && ordered.is_some_and(|ordered| now - ordered.at >= reorder_after);
                if is_new || is_late {
                    self.ordered.insert(key, Ordered { count, at: now });
                    orders.push(Order {
                        zone: zone.clone(),
                        reclaimable,
                        count,
                    });
                }
            }
        }
        orders
    }

    /// Holds orders until the upstreams of a withheld version have left; returns whether it does.
    ///
    /// An order counts the upstreams of all versions, and one for fewer than there are removes those
    /// that serve.
    fn hold(&mut self, now: Millis, zones: &BTreeMap<String, Zone>) -> bool {
        if zones.values().all(|zone| zone.withheld == 0) {
            self.held = None;
            return false;
        }
        let since = *self.held.get_or_insert(now);
        now - since < MAX_HOLD
    }

    /// Detects that reclaimable upstreams are gone although the plan wants them.
    ///
    /// The plan's targets are compared, not the orders that were placed: a daemon that has only
    /// observed has placed none, and one that has just taken the lease none for most zones.
    fn detect_reclaim(&mut self, now: Millis, zones: &BTreeMap<String, Zone>) {
        let count = zones.values().map(|zone| zone.reclaimable).sum();
        let is_below_target = |(name, zone): (&String, &Zone)| {
            let target = self.targets.get(name);
            target.is_some_and(|target| target.reclaimable > zone.reclaimable)
        };
        if count < self.reclaimable && zones.iter().any(is_below_target) {
            self.reclaimed = Some(now);
        }
        self.reclaimable = count;
    }
}
