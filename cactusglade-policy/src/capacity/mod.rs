//! How many upstreams of a service each zone is to have, and of which kind.
//!
//! Reclaimable upstreams cost a fraction of the others, so they carry the load, spread so that the
//! zones that are left carry it after a reclaim. A few firm ones carry what must not wait for new
//! ones, and more of them fill in while reclaimable ones can't be had. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;

/// Share of an upstream's time that is planned for, so that prompts that come together do not
/// wait for each other.
const BUSY: f64 = 0.5;
/// Zones whose reclaimable upstreams may be gone at once; reclaims come in waves.
const LOST_ZONES: usize = 2;
/// Share of the need that firm upstreams carry at all times.
const FIRM: f64 = 0.25;
/// Share of the need that firm upstreams carry while a wave of reclaims is on.
const FIRM_IN_WAVE: f64 = 0.7;
/// Time after a reclaim for which others are expected.
const WAVE: Millis = Millis(15_000);
/// Fewest firm upstreams of a service.
const LEAST_FIRM: f64 = 1.0;
/// Part to which the need must fall before fewer upstreams are ordered.
const LOWER: f64 = 0.8;
/// Time for which a plan that begins looks at what there is before it gives orders; upstreams that
/// start together register within one or two of their heartbeats.
const LEARN: Millis = Millis(3_000);
/// Upstreams that are taken to be there for each that is needed, when a plan begins. Plans order
/// more than two for each; the load of a day's first seconds is not known and may be a surge.
const USUAL: f64 = 1.5;
/// Fewest upstreams that the need is taken to be, whatever the load.
const LEAST_NEED: f64 = 3.0;
/// Time beyond that of a start after which an order that was not fulfilled is given again.
const AGAIN: Millis = Millis(1_000);
/// Time for which the need may only fall slowly, so that a lull does not take away what the next
/// wave needs.
const FALL_PER_S: f64 = 0.05;

/// `Zone` is what a service has in one zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Firm upstreams that stay.
    pub firm: u64,
    /// Reclaimable upstreams that stay.
    pub reclaimable: u64,
}

/// `Order` is a number of upstreams for one zone and kind.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Whether the upstreams are reclaimable.
    pub reclaimable: bool,
    /// How many there should be.
    pub count: u64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    count: u64,
    at: Millis,
}

/// `Plan` decides for one service.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    need: f64,
    /// The need that orders rest on.
    steady: f64,
    measured: Option<Millis>,
    /// When upstreams were first seen.
    begun: Option<Millis>,
    /// When reclaimable upstreams were last taken away, and how many there were before.
    reclaimed: Option<Millis>,
    reclaimable: u64,
    asked: BTreeMap<(String, bool), Asked>,
}

impl Plan {
    /// Takes in the work of a service, in upstreams that it keeps busy.
    ///
    /// A plan that begins knows no load yet; it takes what there is for what is needed and lets it
    /// fall from there.
    #[allow(clippy::cast_precision_loss)]
    pub fn measure(&mut self, now: Millis, busy: f64, zones: &BTreeMap<String, Zone>) {
        let need = (busy / BUSY).max(LEAST_NEED);
        let all = zones.values().map(|zone| zone.firm + zone.reclaimable);
        let all = all.sum::<u64>() as f64;
        if all == 0.0 && self.begun.is_none() {
            return;
        }
        let begun = *self.begun.get_or_insert(now);
        let fallen = match self.measured {
            _ if now - begun < LEARN => self.need.max(all / USUAL),
            Some(measured) if busy > 0.0 => {
                let span = (now - measured).0 as f64 / 1_000.0;
                self.need * (1.0 - FALL_PER_S * span.min(1.0))
            }
            _ => self.need,
        };
        self.need = need.max(fallen);
        self.measured = Some(now);
        if self.need > self.steady || self.need < self.steady * LOWER {
            self.steady = self.need;
        }
    }

    /// Upstreams that are needed.
    #[must_use]
    pub const fn need(&self) -> f64 {
        self.need
    }

    /// Lets an order be given again, since nobody knows whether it arrived.
    pub fn forget(&mut self, zone: &str, reclaimable: bool) {
        self.asked.remove(&(zone.to_owned(), reclaimable));
    }

    /// The orders to give now.
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
        let wanted = self.wanted(now, scale, zones);
        let again = scale.boot_time + AGAIN;
        let mut orders = Vec::new();
        for (zone, has) in zones {
            let want = wanted.get(zone).copied().unwrap_or_default();
            for (reclaimable, count, has) in [
                (true, want.reclaimable, has.reclaimable),
                (false, want.firm, has.firm),
            ] {
                let place = (zone.clone(), reclaimable);
                let asked = self.asked.get(&place);
                let is_new = asked.map_or(count != has, |asked| asked.count != count);
                let is_late = count > has && asked.is_some_and(|asked| now - asked.at >= again);
                if is_new || is_late {
                    self.asked.insert(place, Asked { count, at: now });
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

    /// Notes when reclaimable upstreams are taken away that were not ordered away.
    fn notice(&mut self, now: Millis, zones: &BTreeMap<String, Zone>) {
        let has = zones.values().map(|zone| zone.reclaimable).sum();
        let was_asked = |zone: &String| {
            let asked = self.asked.get(&(zone.clone(), true));
            asked.is_some_and(|asked| asked.count > zones[zone].reclaimable)
        };
        if has < self.reclaimable && zones.keys().any(was_asked) {
            self.reclaimed = Some(now);
        }
        self.reclaimable = has;
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
        let left = zones.len().saturating_sub(LOST_ZONES).max(1) as f64;
        let can_reclaim = scale.spot_price.is_some();
        let each = if can_reclaim {
            (self.steady / left).ceil()
        } else {
            0.0
        };
        let has = zones.values().map(|zone| zone.reclaimable).sum::<u64>() as f64;
        // Firm ones fill in for reclaimable ones that are missing.
        let in_wave = self.reclaimed.is_some_and(|at| now - at < WAVE);
        let share = if in_wave { FIRM_IN_WAVE } else { FIRM };
        let base = (self.steady * share).max(LEAST_FIRM);
        let firm = base.max(self.steady - has).ceil() as u64;
        let dealt = deal(firm, scale, zones).into_iter();
        let wanted = dealt.map(|(zone, firm)| {
            let room = scale.max.saturating_sub(firm);
            let least = scale.min.saturating_sub(firm);
            let reclaimable = (each as u64).min(room).max(least);
            (zone, Zone { firm, reclaimable })
        });
        wanted.collect()
    }
}

/// Deals firm upstreams to the zones in turn, the cheapest first.
fn deal(count: u64, scale: &Scale, zones: &BTreeMap<String, Zone>) -> BTreeMap<String, u64> {
    let price = |zone: &String| scale.prices.get(zone).copied().unwrap_or(1.0);
    let mut order = zones.keys().collect::<Vec<_>>();
    order.sort_by(|a, b| price(a).total_cmp(&price(b)));
    let mut dealt = zones
        .keys()
        .map(|zone| (zone.clone(), 0))
        .collect::<BTreeMap<_, _>>();
    let mut left = count;
    while left > 0 && dealt.values().any(|has| *has < scale.max) {
        for zone in &order {
            if let Some(has) = dealt.get_mut(*zone)
                && left > 0
                && *has < scale.max
            {
                *has += 1;
                left -= 1;
            }
        }
    }
    dealt
}
