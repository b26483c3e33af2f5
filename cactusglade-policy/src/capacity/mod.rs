//! Plans the number of reclaimable and on-demand upstreams of a service in each zone.
//!
//! Reclaimable upstreams cost a fraction of the others, so they carry the load, with enough in each
//! zone that the remaining zones carry it after a reclaim. A few on-demand upstreams carry what
//! can't wait for replacements. More are ordered only where the reclaimable ones that are left, less
//! those of the zones that may be reclaimed next, don't meet the need. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;

/// Target utilisation of an upstream, low enough that prompts of a burst don't wait for each other.
const TARGET_UTILISATION: f64 = 0.5;
/// Number of zones that may lose all reclaimable upstreams at the same time; reclaims come in
/// waves.
const TOLERATED_ZONE_LOSSES: usize = 2;
/// Least number of reclaimable upstreams per needed one, where zone losses require fewer: they also
/// make up for upstreams that crash while no others are to be had, at a fraction of the price.
const MIN_RECLAIMABLE_PER_NEED: f64 = 2.0;
/// Share of the need that on-demand upstreams carry at all times.
const ON_DEMAND_SHARE: f64 = 0.1;
/// Time after a reclaim within which further reclaims are expected.
const RECLAIM_WAVE: Millis = Millis(15_000);
/// Minimum number of on-demand upstreams of a service.
const MIN_ON_DEMAND: f64 = 1.0;
/// Share of the planned need below which the need must fall before fewer upstreams are ordered.
const SCALE_DOWN_RATIO: f64 = 0.8;
/// Time for which a new plan observes the upstreams before it places orders; upstreams that start
/// together register within one or two of their heartbeats.
const OBSERVATION_PERIOD: Millis = Millis(3_000);
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

/// Delay of prompts up to which the upstreams are not under pressure, in milliseconds.
const NO_PRESSURE_DELAY_MS: f64 = 100.0;
/// Delay of prompts at which twice the measured work is planned for, in milliseconds; latency
/// targets are a second or more.
const DOUBLE_PRESSURE_DELAY_MS: f64 = 500.0;

/// Returns the factor by which the work is greater than measured, from 1 to 2, by the mean time that
/// prompts wait at the upstreams.
///
/// The measured work is based on typical engines; slower ones show in what prompts wait.
#[must_use]
pub fn pressure(delay_ms: f64) -> f64 {
    let range = DOUBLE_PRESSURE_DELAY_MS - NO_PRESSURE_DELAY_MS;
    1.0 + ((delay_ms - NO_PRESSURE_DELAY_MS) / range).clamp(0.0, 1.0)
}

/// Returns the share of an upstream's usual work that it does not take because of its limit, where a
/// request takes `work_ms` of an upstream's time.
#[must_use]
pub fn impairment(limit: Rate, work_ms: f64) -> f64 {
    let busy = limit.per_second() * work_ms / 1_000.0;
    1.0 - (busy / TARGET_UTILISATION).min(1.0)
}

/// `Zone` counts the upstreams of a service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Number of on-demand upstreams.
    pub on_demand: u64,
    /// Number of reclaimable upstreams.
    pub reclaimable: u64,
    /// Number of upstreams of a version that gets no requests; the others don't include them.
    pub withheld: u64,
}

/// `Order` sets the number of upstreams of one kind in one zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Whether the upstreams are reclaimable.
    pub reclaimable: bool,
    /// Desired number of upstreams.
    pub count: u64,
}

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
    /// Zones that the operators evacuate, where nothing counts and nothing is ordered.
    evacuated: BTreeSet<String>,
    /// Since when there have been upstreams of a withheld version.
    held: Option<Millis>,
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

    /// Returns the orders to place now.
    pub fn orders(
        &mut self,
        now: Millis,
        scale: &Scale,
        zones: &BTreeMap<String, Zone>,
    ) -> Vec<Order> {
        if self
            .started
            .is_none_or(|started| now - started < OBSERVATION_PERIOD)
        {
            return Vec::new();
        }
        let all_zones = zones;
        let open = zones
            .iter()
            .filter(|(zone, _)| !self.evacuated.contains(*zone));
        let open = open.map(|(zone, count)| (zone.clone(), *count));
        let zones = &open.collect::<BTreeMap<_, _>>();
        if self.hold(now, zones) {
            return Vec::new();
        }
        self.detect_reclaim(now, zones);
        let targets = self.targets(now, scale, zones, all_zones);
        let reorder_after = scale.boot_time + REORDER_DELAY;
        let mut orders = Vec::new();
        for (zone, existing) in zones {
            let target = targets.get(zone).copied().unwrap_or_default();
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

    /// Detects that reclaimable upstreams are gone without an order to remove them.
    fn detect_reclaim(&mut self, now: Millis, zones: &BTreeMap<String, Zone>) {
        let count = zones.values().map(|zone| zone.reclaimable).sum();
        let is_below_order = |zone: &String| {
            let ordered = self.ordered.get(&(zone.clone(), true));
            ordered.is_some_and(|ordered| ordered.count > zones[zone].reclaimable)
        };
        if count < self.reclaimable && zones.keys().any(is_below_order) {
            self.reclaimed = Some(now);
        }
        self.reclaimable = count;
    }

    /// Returns the numbers of upstreams that the zones should have.
    ///
    /// Those that each zone has at all times are the same while some of `all_zones` are evacuated; the rest of
    /// the need is covered by on-demand ones in the others, as after a reclaim.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn targets(
        &self,
        now: Millis,
        scale: &Scale,
        zones: &BTreeMap<String, Zone>,
        all_zones: &BTreeMap<String, Zone>,
    ) -> BTreeMap<String, Zone> {
        let lasting_zones = all_zones.len().saturating_sub(TOLERATED_ZONE_LOSSES);
        let remaining_zones = lasting_zones.max(1) as f64;
        let evacuated_zones = all_zones.len() - zones.len();
        let zone_count = all_zones.len().max(1) as f64;
        let can_reclaim = scale.spot_price.is_some();
        let reclaimable_per_zone = if can_reclaim {
            let per_need = (1.0 / remaining_zones).max(MIN_RECLAIMABLE_PER_NEED / zone_count);
            // What limited upstreams don't take uses up the surplus first.
            let least = (self.planned_need + self.impaired) / zone_count;
            (self.planned_need * per_need).max(least).ceil()
        } else {
            0.0
        };
        let reclaimable = zones.values().map(|zone| zone.reclaimable);
        let mut reclaimable = reclaimable.collect::<Vec<_>>();
        reclaimable.sort_unstable();
        // Further zones may be reclaimed before replacements have booted.
        if self.reclaimed.is_some_and(|at| now - at < RECLAIM_WAVE) {
            reclaimable.truncate(lasting_zones.saturating_sub(evacuated_zones));
        }
        let lasting = reclaimable.iter().sum::<u64>() as f64;
        let base = (self.planned_need * ON_DEMAND_SHARE).max(MIN_ON_DEMAND);
        let on_demand = base.max(self.planned_need - lasting).ceil() as u64;
        let wanted = (reclaimable_per_zone as u64).min(scale.max);
        let base_by_zone = distribute(base.ceil() as u64, scale, all_zones, |_| scale.max);
        // Beyond the base, on-demand upstreams don't take the places of reclaimable ones that serve:
        // these would be gone at once, and their replacements have to boot.
        let room = |zone: &String| {
            let serving = zones[zone].reclaimable.min(wanted);
            (scale.max - serving).max(base_by_zone[zone])
        };
        let on_demand_by_zone = distribute(on_demand, scale, zones, room).into_iter();
        let targets = on_demand_by_zone.map(|(zone, on_demand)| {
            let room = scale.max.saturating_sub(on_demand);
            let least = scale.min.saturating_sub(on_demand);
            let reclaimable = wanted.min(room).max(least);
            (
                zone,
                Zone {
                    on_demand,
                    reclaimable,
                    withheld: 0,
                },
            )
        });
        targets.collect()
    }
}

/// Distributes on-demand upstreams over the zones in turn, the cheapest zone first, up to the room in
/// each.
fn distribute(
    total: u64,
    scale: &Scale,
    zones: &BTreeMap<String, Zone>,
    room: impl Fn(&String) -> u64,
) -> BTreeMap<String, u64> {
    let price = |zone: &String| scale.prices.get(zone).copied().unwrap_or(1.0);
    let mut cheapest_first = zones.keys().collect::<Vec<_>>();
    cheapest_first.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let mut counts = zones
        .keys()
        .map(|zone| (zone.clone(), 0))
        .collect::<BTreeMap<_, _>>();
    let mut remaining = total;
    while remaining > 0 && counts.iter().any(|(zone, count)| *count < room(zone)) {
        for zone in &cheapest_first {
            if let Some(count) = counts.get_mut(*zone)
                && remaining > 0
                && *count < room(zone)
            {
                *count += 1;
                remaining -= 1;
            }
        }
    }
    counts
}
