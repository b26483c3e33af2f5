//! Orders follow the load, survive reclaims, and keep within the bounds of each zone.

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;
use cactusglade_policy::capacity::Order;
use cactusglade_policy::capacity::Plan;
use cactusglade_policy::capacity::Zone;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn scale() -> Scale {
    let prices = [1.0, 0.8, 1.25, 0.9];
    let prices = ZONES.iter().zip(prices);
    Scale {
        min: 1,
        max: 6,
        boot_time: Millis(4_000),
        spot_price: Some(0.15),
        prices: prices
            .map(|(zone, price)| ((*zone).to_owned(), price))
            .collect(),
    }
}

fn zones(firm: u64, reclaimable: u64) -> BTreeMap<String, Zone> {
    let zone = Zone { firm, reclaimable };
    ZONES
        .iter()
        .map(|name| ((*name).to_owned(), zone))
        .collect()
}

/// Carries orders out at once.
fn obey(zones: &mut BTreeMap<String, Zone>, orders: &[Order]) {
    for order in orders {
        let zone = zones.get_mut(&order.zone).expect("orders name known zones");
        if order.reclaimable {
            zone.reclaimable = order.count;
        } else {
            zone.firm = order.count;
        }
    }
}

/// A plan that has looked for long enough to give orders.
fn begun(zones: &BTreeMap<String, Zone>) -> Plan {
    let mut plan = Plan::default();
    for at in [0, 1_000, 2_000, 3_100] {
        plan.measure(Millis(at), 0.0, zones);
    }
    plan
}

#[test]
fn a_plan_that_begins_takes_what_there_is_for_what_is_needed() {
    let plan = begun(&zones(3, 0));
    assert!(plan.need() >= 8.0, "{}", plan.need());
}

#[test]
fn nothing_is_ordered_before_upstreams_are_seen() {
    let mut plan = Plan::default();
    plan.measure(Millis(0), 0.0, &zones(0, 0));
    assert_eq!(
        plan.orders(Millis(9_000), &scale(), &zones(0, 0)),
        Vec::new()
    );
}

#[test]
fn firm_upstreams_fill_in_for_those_that_are_reclaimed() {
    let mut now = zones(1, 4);
    let mut plan = begun(&now);
    let orders = plan.orders(Millis(3_200), &scale(), &now);
    obey(&mut now, &orders);
    let firm = |zones: &BTreeMap<String, Zone>| zones.values().map(|zone| zone.firm).sum::<u64>();
    let before = firm(&now);
    for zone in now.values_mut() {
        zone.reclaimable = 0;
    }
    let orders = plan.orders(Millis(4_000), &scale(), &now);
    let firm_orders = orders.iter().filter(|order| !order.reclaimable);
    assert!(firm_orders.map(|order| order.count).sum::<u64>() > before);
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    busy: u8,
    reclaimed: Option<u8>,
}

#[test]
fn any_load_and_any_reclaims_keep_each_zone_within_its_bounds() {
    bolero::check!()
        .with_type::<Vec<Step>>()
        .with_iterations(500)
        .for_each(|steps| {
            let mut now = zones(3, 0);
            // What was ordered last; a reclaim takes away what there is, not what is ordered.
            let mut ordered = now.clone();
            let mut plan = begun(&now);
            for (second, step) in steps.iter().enumerate() {
                let at = Millis(4_000 + 1_000 * u64::try_from(second).unwrap_or(0));
                plan.measure(at, f64::from(step.busy) / 10.0, &now);
                let orders = plan.orders(at, &scale(), &now);
                for order in &orders {
                    assert!(order.count <= 6, "{order:?}");
                }
                obey(&mut now, &orders);
                obey(&mut ordered, &orders);
                for zone in ordered.values() {
                    assert!(
                        (1..=6).contains(&(zone.firm + zone.reclaimable)),
                        "{zone:?}"
                    );
                }
                if let Some(zone) = step.reclaimed {
                    let name = ZONES[usize::from(zone) % ZONES.len()];
                    now.get_mut(name).expect("the zone is known").reclaimable = 0;
                }
            }
        });
}
