//! Plans the number of reclaimable and on-demand upstreams of a service in each zone.
//!
//! Reclaimable upstreams cost a fraction of the others, so they carry the load, with enough in each
//! zone that the remaining zones carry it after a reclaim. A few on-demand upstreams carry what
//! can't wait for replacements, and more replace reclaimable ones while those are unavailable. See
//! `docs/PLATFORM.md`.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;

/// Target utilisation of an upstream, low enough that prompts of a burst don't wait for each other.
const BUSY: f64 = 0.5;
/// Number of zones that may lose all reclaimable upstreams at the same time; reclaims come in
/// waves.
const LOST_ZONES: usize = 2;
/// Share of the need that on-demand upstreams carry at all times.
const FIRM: f64 = 0.25;
/// Share of the need that on-demand upstreams carry during a wave of reclaims.
const FIRM_IN_WAVE: f64 = 0.7;
/// Time after a reclaim within which further reclaims are expected.
const WAVE: Millis = Millis(15_000);
/// Minimum number of on-demand upstreams of a service.
const LEAST_FIRM: f64 = 1.0;
/// Share of the planned need below which the need must fall before fewer upstreams are ordered.
const LOWER: f64 = 0.8;
/// Time for which a new plan observes the upstreams before it places orders; upstreams that start
/// together register within one or two of their heartbeats.
const LEARN: Millis = Millis(3_000);
/// Assumed ratio of existing to needed upstreams when a plan starts. Plans order more than two per
/// needed upstream, but the load of the first seconds is unknown and may be a surge.
const USUAL: f64 = 1.5;
/// Minimum need in upstreams, whatever the load.
const LEAST_NEED: f64 = 3.0;
/// Time beyond the boot time after which an unfulfilled order is repeated.
const AGAIN: Millis = Millis(1_000);
/// Maximum relative decrease of the need per second, so that a lull doesn't remove the capacity for
/// the next wave.
const FALL_PER_S: f64 = 0.05;

/// `Zone` counts the upstreams of a service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Number of on-demand upstreams.
    pub on_demand: u64,
    /// Number of reclaimable upstreams.
    pub reclaimable: u64,
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
struct Asked {
    count: u64,
    at: Millis,
}

/// `Plan` decides the orders for one service.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    need: f64,
    /// Need on which orders are based; it follows `need` with hysteresis.
    steady: f64,
    measured: Option<Millis>,
    /// When upstreams were first seen.
    begun: Option<Millis>,
    /// When reclaimable upstreams were last reclaimed.
    reclaimed: Option<Millis>,
    /// Number of reclaimable upstreams at the last call.
    reclaimable: u64,
    asked: BTreeMap<(String, bool), Asked>,
}

impl Plan {
    /// Records the load of a service, as the number of upstreams that it keeps busy.
    ///
    /// A new plan doesn't know the load yet; it derives the need from the existing upstreams and
    /// lets it decrease from there.
    #[allow(clippy::cast_precision_loss)]
    pub fn measure(&mut self, now: Millis, busy: f64, zones: &BTreeMap<String, Zone>) {
        let need = (busy / BUSY).max(LEAST_NEED);
        let existing = zones.values().map(|zone| zone.on_demand + zone.reclaimable);
        let existing = existing.sum::<u64>() as f64;
        if existing == 0.0 && self.begun.is_none() {
            return;
        }
        let begun = *self.begun.get_or_insert(now);
        let decayed = match self.measured {
            _ if now - begun < LEARN => self.need.max(existing / USUAL),
            Some(measured) if busy > 0.0 => {
                let span = (now - measured).0 as f64 / 1_000.0;
                self.need * (1.0 - FALL_PER_S * span.min(1.0))
            }
            _ => self.need,
        };
        self.need = need.max(decayed);
        self.measured = Some(now);
        if self.need > self.steady || self.need < self.steady * LOWER {
            self.steady = self.need;
        }
    }

    /// Returns the number of upstreams that are needed.
    #[must_use]
    pub const fn need(&self) -> f64 {
        self.need
    }

    /// Forgets an order whose delivery is unknown, so that it is repeated.
    pub fn forget_order(&mut self, zone: &str, reclaimable: bool) {
        self.asked.remove(&(zone.to_owned(), reclaimable));
    }

    /// Returns the orders to place now.
    pub fn orders(
        &mut self,
        now: Millis,
        scale: &Scale,
        zones: &BTreeMap<String, Zone>,
    ) -> Vec<Order> {
        if self.begun.is_none_or(|begun| now - begun < LEARN) {
            return Vec::new();
        }
        self.notice(now, zones);
        let targets = self.wanted(now, scale, zones);
        let reorder_after = scale.boot_time + AGAIN;
        let mut orders = Vec::new();
        for (zone, existing) in zones {
            let target = targets.get(zone).copied().unwrap_or_default();
            for (reclaimable, count, existing) in [
                (true, target.reclaimable, existing.reclaimable),
                (false, target.on_demand, existing.on_demand),
            ] {
                let key = (zone.clone(), reclaimable);
                let asked = self.asked.get(&key);
                let is_new = asked.map_or(count != existing, |asked| asked.count != count);
                let is_late =
                    count > existing && asked.is_some_and(|asked| now - asked.at >= reorder_after);
                if is_new || is_late {
                    self.asked.insert(key, Asked { count, at: now });
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

    /// Detects that reclaimable upstreams are gone without an order to remove them.
    fn notice(&mut self, now: Millis, zones: &BTreeMap<String, Zone>) {
        let count = zones.values().map(|zone| zone.reclaimable).sum();
        let was_asked = |zone: &String| {
            let asked = self.asked.get(&(zone.clone(), true));
            asked.is_some_and(|asked| asked.count > zones[zone].reclaimable)
        };
        if count < self.reclaimable && zones.keys().any(was_asked) {
            self.reclaimed = Some(now);
        }
        self.reclaimable = count;
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn wanted(
        &self,
        now: Millis,
        scale: &Scale,
        zones: &BTreeMap<String, Zone>,
    ) -> BTreeMap<String, Zone> {
        let remaining_zones = zones.len().saturating_sub(LOST_ZONES).max(1) as f64;
        let can_reclaim = scale.spot_price.is_some();
        let reclaimable_per_zone = if can_reclaim {
            (self.steady / remaining_zones).ceil()
        } else {
            0.0
        };
        let reclaimable_count = zones.values().map(|zone| zone.reclaimable).sum::<u64>() as f64;
        // On-demand upstreams replace missing reclaimable ones.
        let in_wave = self.reclaimed.is_some_and(|at| now - at < WAVE);
        let share = if in_wave { FIRM_IN_WAVE } else { FIRM };
        let base = (self.steady * share).max(LEAST_FIRM);
        let on_demand = base.max(self.steady - reclaimable_count).ceil() as u64;
        let on_demand_by_zone = deal(on_demand, scale, zones).into_iter();
        let targets = on_demand_by_zone.map(|(zone, on_demand)| {
            let room = scale.max.saturating_sub(on_demand);
            let least = scale.min.saturating_sub(on_demand);
            let reclaimable = (reclaimable_per_zone as u64).min(room).max(least);
            (
                zone,
                Zone {
                    on_demand,
                    reclaimable,
                },
            )
        });
        targets.collect()
    }
}

/// Distributes on-demand upstreams over the zones in turn, the cheapest zone first.
fn deal(total: u64, scale: &Scale, zones: &BTreeMap<String, Zone>) -> BTreeMap<String, u64> {
    let price = |zone: &String| scale.prices.get(zone).copied().unwrap_or(1.0);
    let mut cheapest_first = zones.keys().collect::<Vec<_>>();
    cheapest_first.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let mut counts = zones
        .keys()
        .map(|zone| (zone.clone(), 0))
        .collect::<BTreeMap<_, _>>();
    let mut remaining = total;
    while remaining > 0 && counts.values().any(|count| *count < scale.max) {
        for zone in &cheapest_first {
            if let Some(count) = counts.get_mut(*zone)
                && remaining > 0
                && *count < scale.max
            {
                *count += 1;
                remaining -= 1;
            }
        }
    }
    counts
}
