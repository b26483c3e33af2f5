//! Numbers of upstreams that the zones of a service should have.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Scale;

use super::Zone;

/// Number of zones that may lose all reclaimable upstreams at the same time; reclaims come in
/// waves.
const TOLERATED_ZONE_LOSSES: usize = 2;
/// Least number of reclaimable upstreams per needed one, where zone losses require fewer: they also
/// make up for upstreams that crash while no others are to be had, at a fraction of the price.
const MIN_RECLAIMABLE_PER_NEED: f64 = 2.0;
/// Share of the need that on-demand upstreams carry at all times.
const ON_DEMAND_SHARE: f64 = 0.1;
/// Minimum number of on-demand upstreams of a service.
const MIN_ON_DEMAND: f64 = 1.0;

/// `Demand` is what the upstreams of a service have to carry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    /// Number of upstreams that are needed.
    pub need: f64,
    /// Upstreams' worth of work that limited upstreams don't take.
    pub impaired: f64,
    /// Whether further reclaims are expected.
    pub is_wave: bool,
}

impl Demand {
    /// Returns the numbers of upstreams that the zones should have.
    ///
    /// Those that each zone has at all times are the same while some of `all_zones` are evacuated; the
    /// rest of the need is covered by on-demand ones in the others, as after a reclaim.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub(super) fn targets(
        self,
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
            let least = (self.need + self.impaired) / zone_count;
            (self.need * per_need).max(least).ceil()
        } else {
            0.0
        };
        let reclaimable = zones.values().map(|zone| zone.reclaimable);
        let mut reclaimable = reclaimable.collect::<Vec<_>>();
        reclaimable.sort_unstable();
        // Further zones may be reclaimed before replacements have booted.
        if self.is_wave {
            reclaimable.truncate(lasting_zones.saturating_sub(evacuated_zones));
        }
        let lasting = reclaimable.iter().sum::<u64>() as f64;
        let base = (self.need * ON_DEMAND_SHARE).max(MIN_ON_DEMAND);
        let on_demand = base.max(self.need - lasting).ceil() as u64;
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
