//! Guards against orders outside a zone's bounds, and against too few upstreams after a start of
//! the daemon or a reclaim.

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use cactusglade_check::check;
use cactusglade_core::catalog::Scale;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::capacity;
use cactusglade_policy::capacity::Cause;
use cactusglade_policy::capacity::Observation;
use cactusglade_policy::capacity::Order;
use cactusglade_policy::capacity::Plan;
use cactusglade_policy::capacity::Sight;
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

fn zones(on_demand: u64, reclaimable: u64) -> BTreeMap<String, Zone> {
    let zone = Zone {
        on_demand,
        reclaimable,
        withheld: 0,
    };
    ZONES
        .iter()
        .map(|name| ((*name).to_owned(), zone))
        .collect()
}

/// Carries out orders immediately.
fn carry_out(zones: &mut BTreeMap<String, Zone>, orders: &[Order]) {
    for order in orders {
        let zone = zones.get_mut(&order.zone).expect("orders name known zones");
        if order.reclaimable {
            zone.reclaimable = order.count;
        } else {
            zone.on_demand = order.count;
        }
    }
}

/// Creates a plan whose observation period is over.
fn observed_plan(zones: &BTreeMap<String, Zone>) -> Plan {
    let mut plan = Plan::default();
    for at in [0, 1_000, 2_000, 3_100] {
        plan.measure(Millis(at), 0.0, zones);
    }
    plan
}

#[test]
fn a_new_plan_derives_the_need_from_existing_upstreams() {
    let plan = observed_plan(&zones(3, 0));
    assert!(plan.need() >= 8.0, "{}", plan.need());
}

#[test]
fn nothing_is_ordered_before_upstreams_are_observed() {
    let mut plan = Plan::default();
    plan.measure(Millis(0), 0.0, &zones(0, 0));
    assert_eq!(
        plan.orders(Millis(9_000), &scale(), &zones(0, 0)),
        Vec::new()
    );
}

#[test]
fn on_demand_upstreams_replace_reclaimed_ones() {
    let mut existing = zones(1, 4);
    let mut plan = observed_plan(&existing);
    let orders = plan.orders(Millis(3_200), &scale(), &existing);
    carry_out(&mut existing, &orders);
    let on_demand =
        |zones: &BTreeMap<String, Zone>| zones.values().map(|zone| zone.on_demand).sum::<u64>();
    let before = on_demand(&existing);
    for zone in existing.values_mut() {
        zone.reclaimable = 0;
    }
    let orders = plan.orders(Millis(4_000), &scale(), &existing);
    let on_demand_orders = orders.iter().filter(|order| !order.reclaimable);
    assert!(on_demand_orders.map(|order| order.count).sum::<u64>() > before);
}

/// Six zones of which one is reclaimed, and no replacements are to be had for some seconds: the
/// other five carry the load, also after the loss of one more.
#[test]
fn a_reclaim_that_the_other_zones_carry_orders_nothing_on_demand() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let zone = Zone {
        on_demand: 1,
        reclaimable: 15,
        withheld: 0,
    };
    let mut existing = names.map(|name| (name.to_owned(), zone));
    let mut scale = scale();
    scale.max = 42;
    scale.prices = names.map(|name| (name.to_owned(), 1.0)).into();
    let before = existing.clone().into();
    let mut plan = Plan::default();
    for at in [0, 1_000, 2_000, 3_100] {
        plan.measure(Millis(at), 25.0, &before);
    }
    let ordered = plan.orders(Millis(3_200), &scale, &before);
    for (name, zone) in &mut existing {
        for order in ordered.iter().filter(|order| order.zone == *name) {
            if order.reclaimable {
                zone.reclaimable = order.count;
            } else {
                zone.on_demand = order.count;
            }
        }
    }
    let carried = existing.clone().into();
    assert_eq!(plan.orders(Millis(3_300), &scale, &carried), Vec::new());
    existing[5].1.reclaimable = 0;
    let reclaimed = existing.clone().into();
    let orders = plan.orders(Millis(3_400), &scale, &reclaimed);
    let on_demand = orders.iter().filter(|order| !order.reclaimable);
    assert_eq!(on_demand.count(), 0, "{orders:?}");
}

/// In two zones the loss of the second leaves nothing, so that its load must not wait for it.
#[test]
fn a_reclaim_after_which_one_more_is_too_much_orders_on_demand() {
    let mut existing = zones(1, 4);
    let mut plan = observed_plan(&existing);
    let orders = plan.orders(Millis(3_200), &scale(), &existing);
    carry_out(&mut existing, &orders);
    let needed = plan.need();
    for name in ["a", "b"] {
        existing
            .get_mut(name)
            .expect("the zone is known")
            .reclaimable = 0;
    }
    let orders = plan.orders(Millis(3_400), &scale(), &existing);
    carry_out(&mut existing, &orders);
    let on_demand = existing.values().map(|zone| zone.on_demand).sum::<u64>();
    let one_zone = existing["c"].reclaimable;
    #[allow(clippy::cast_precision_loss)]
    let left = (on_demand + one_zone) as f64;
    assert!(left >= needed.floor(), "{left} of {needed}");
}

/// The upstreams of a version that was rolled back left, which looked like a reclaim; the orders
/// after it removed three in four of the upstreams that served.
#[test]
fn nothing_is_ordered_until_the_upstreams_of_a_withheld_version_have_left() {
    let mut existing = zones(1, 2);
    let mut plan = observed_plan(&existing);
    let orders = plan.orders(Millis(3_200), &scale(), &existing);
    carry_out(&mut existing, &orders);
    for (at, withheld) in [(4_000, 2), (5_000, 5), (6_000, 4), (6_500, 1)] {
        for zone in existing.values_mut() {
            zone.withheld = withheld;
        }
        let at = Millis(at);
        plan.measure(at, 5.0, &existing);
        assert_eq!(plan.orders(at, &scale(), &existing), Vec::new());
    }
    for zone in existing.values_mut() {
        zone.withheld = 0;
    }
    assert_ne!(plan.orders(Millis(7_000), &scale(), &existing), Vec::new());
}

/// Upstreams of a withheld version that stay do not keep a service from growing.
#[test]
fn orders_wait_for_a_withheld_version_for_a_limited_time() {
    let mut existing = zones(1, 2);
    let mut plan = observed_plan(&existing);
    let orders = plan.orders(Millis(3_200), &scale(), &existing);
    carry_out(&mut existing, &orders);
    existing.get_mut("a").expect("the zone is known").withheld = 1;
    plan.measure(Millis(4_000), 5.0, &existing);
    assert_eq!(plan.orders(Millis(4_000), &scale(), &existing), Vec::new());
    assert_ne!(plan.orders(Millis(24_000), &scale(), &existing), Vec::new());
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
struct Step {
    busy: u8,
    reclaimed: Option<u8>,
}

#[test]
fn any_load_and_any_reclaims_keep_each_zone_within_its_bounds() {
    check::run::<Vec<Step>>(500, |steps| {
        let mut existing = zones(3, 0);
        // The numbers ordered last; a reclaim removes upstreams but changes no order.
        let mut ordered = existing.clone();
        let mut plan = observed_plan(&existing);
        for (second, step) in steps.iter().enumerate() {
            let at = Millis(4_000 + 1_000 * u64::try_from(second).unwrap_or(0));
            plan.measure(at, f64::from(step.busy) / 10.0, &existing);
            let orders = plan.orders(at, &scale(), &existing);
            for order in &orders {
                assert!(order.count <= 6, "{order:?}");
            }
            carry_out(&mut existing, &orders);
            carry_out(&mut ordered, &orders);
            for zone in ordered.values() {
                assert!(
                    (1..=6).contains(&(zone.on_demand + zone.reclaimable)),
                    "{zone:?}"
                );
            }
            if let Some(zone) = step.reclaimed {
                let name = ZONES[usize::from(zone) % ZONES.len()];
                existing
                    .get_mut(name)
                    .expect("the zone is known")
                    .reclaimable = 0;
            }
        }
    });
}

/// Engines that read prompts more slowly than assumed: the same measured work is more.
#[test]
fn prompts_that_wait_raise_the_need() {
    assert!((capacity::pressure(40.0) - 1.0).abs() < f64::EPSILON);
    assert!((capacity::pressure(300.0) - 1.5).abs() < 1e-9);
    assert!((capacity::pressure(4_000.0) - 2.0).abs() < f64::EPSILON);
}

/// Under a load beyond all that may be ordered, on-demand upstreams were ordered in the places of
/// reclaimable ones that served, and most of the service was gone until the new ones had booted.
#[test]
fn orders_beyond_the_greatest_number_remove_no_upstream_that_serves() {
    let mut zones = zones(1, 5);
    let mut plan = observed_plan(&zones);
    for second in 4..20 {
        let now = Millis(second * 1_000);
        plan.measure(now, 30.0, &zones);
        let before = zones.clone();
        let orders = plan.orders(now, &scale(), &zones);
        carry_out(&mut zones, &orders);
        for (name, zone) in &zones {
            let (now, then) = (zone.reclaimable, before[name].reclaimable);
            let base = zone.on_demand - before[name].on_demand;
            assert!(
                now + base >= then && now >= 4,
                "{name}: {zone:?} after {then}"
            );
        }
    }
}

/// Limited upstreams counted as whole ones, and what they did not take was sent to the few others.
#[test]
fn work_that_limited_upstreams_do_not_take_is_ordered_elsewhere() {
    let impairment = |per_s: u64| capacity::impairment(Rate(per_s * 1_000), 50.0);
    assert!((impairment(1) - 0.9).abs() < 1e-9);
    assert!(impairment(10) < 1e-9 && impairment(100) < 1e-9);
    let mut zones = zones(1, 1);
    let mut plan = observed_plan(&zones);
    plan.measure(Millis(4_000), 1.0, &zones);
    let mut ordered = |at: u64, impaired: f64| {
        plan.set_impaired(impaired);
        let orders = plan.orders(Millis(at), &scale(), &zones);
        carry_out(&mut zones, &orders);
        let counts = zones.values().map(|zone| zone.reclaimable);
        counts.sum::<u64>()
    };
    let before = ordered(4_000, 0.0);
    assert_eq!(ordered(4_500, 4.0), before, "the surplus covers it");
    let limited = ordered(5_000, 12.0);
    assert!(limited >= before + 4, "{before}, then {limited}");
    assert_eq!(ordered(5_500, 11.0), limited, "a small change");
    assert_eq!(ordered(6_000, 0.0), before);
}

/// Upstreams that get no requests counted as capacity, so that the need was not met, and their
/// disappearance from the count was taken for a wave of reclaims.
#[test]
fn an_evacuated_zone_counts_for_nothing_and_the_need_is_covered_elsewhere() {
    let mut existing = zones(0, 6);
    let mut plan = observed_plan(&existing);
    let at = |second: u64| Millis(4_000 + second * 1_000);
    let orders = plan.orders(at(0), &scale(), &existing);
    carry_out(&mut existing, &orders);
    plan.orders(at(1), &scale(), &existing);
    let before = existing.clone();
    let evacuated = ["a", "b", "c"].map(str::to_owned);
    plan.set_evacuated(&evacuated.iter().cloned().collect());
    for zone in &evacuated {
        existing.insert(zone.clone(), Zone::default());
    }
    for second in 2..9 {
        let orders = plan.orders(at(second), &scale(), &existing);
        let is_open = orders.iter().all(|order| order.zone == "d");
        assert!(is_open, "{orders:?}");
        carry_out(&mut existing, &orders);
    }
    let open = existing["d"];
    assert_eq!(open.on_demand + open.reclaimable, scale().max, "{open:?}");
    assert_eq!(open.reclaimable, before["d"].reclaimable, "it serves");
    // One zone less is covered by what the others have.
    let mut existing = before.clone();
    let mut plan = observed_plan(&existing);
    plan.orders(at(0), &scale(), &existing);
    plan.set_evacuated(&["a".to_owned()].into_iter().collect());
    existing.insert("a".to_owned(), Zone::default());
    let orders = plan.orders(at(1), &scale(), &existing);
    let reclaimable = orders.iter().filter(|order| order.reclaimable);
    assert_eq!(
        reclaimable.count(),
        0,
        "the same number per zone: {orders:?}"
    );
}

/// Returns a scale whose greatest number in a zone is beyond what the tests of succession need.
fn roomy() -> Scale {
    Scale { max: 40, ..scale() }
}

/// Creates the plan of a daemon that has observed without the lease while another one ordered, and
/// lets the orders of that one take effect.
fn follower(existing: &mut BTreeMap<String, Zone>) -> Plan {
    let mut holder = observed_plan(existing);
    let mut plan = observed_plan(existing);
    for at in [3_200, 3_600] {
        let at = Millis(at);
        plan.observe(at, &roomy(), existing);
        let orders = holder.orders(at, &roomy(), existing);
        carry_out(existing, &orders);
    }
    plan.observe(Millis(4_000), &roomy(), existing);
    plan
}

fn total(orders: &[Order], reclaimable: bool) -> u64 {
    let orders = orders.iter();
    let orders = orders.filter(|order| order.reclaimable == reclaimable);
    orders.map(|order| order.count).sum()
}

/// A zone was reclaimed after the holder was cut off and before its successor took the lease: a plan
/// that starts then takes what is left for all there was, orders for 3 s nothing, and nothing on
/// demand for the zones that may be reclaimed next.
#[test]
fn a_zone_reclaimed_between_two_holders_is_replaced_by_the_first_orders() {
    let mut existing = zones(1, 4);
    let mut plan = follower(&mut existing);
    let wanted = existing["a"].reclaimable;
    existing
        .get_mut("a")
        .expect("the zone is known")
        .reclaimable = 0;
    // No daemon holds the lease.
    plan.observe(Millis(5_000), &roomy(), &existing);
    plan.release();
    let orders = plan.orders(Millis(8_000), &roomy(), &existing);
    let replaced = orders
        .iter()
        .find(|order| order.zone == "a" && order.reclaimable);
    assert_eq!(
        replaced.map(|order| order.count),
        Some(wanted),
        "{orders:?}"
    );
    let on_demand = existing.values().map(|zone| zone.on_demand).sum::<u64>();
    assert!(total(&orders, false) > on_demand, "{orders:?}");
}

/// A daemon that has just taken the lease has ordered nothing where all there was is what it wants,
/// and took no reclaim there for one.
#[test]
fn a_zone_reclaimed_from_a_successor_that_had_nothing_to_order_is_noticed() {
    let mut existing = zones(1, 4);
    let mut plan = follower(&mut existing);
    plan.release();
    assert_eq!(plan.orders(Millis(4_400), &roomy(), &existing), Vec::new());
    let on_demand = existing.values().map(|zone| zone.on_demand).sum::<u64>();
    existing
        .get_mut("a")
        .expect("the zone is known")
        .reclaimable = 0;
    let orders = plan.orders(Millis(4_800), &roomy(), &existing);
    assert!(total(&orders, false) > on_demand, "{orders:?}");
}

/// The load doubles while no daemon holds the lease.
#[test]
fn a_surge_between_two_holders_is_met_by_the_first_orders() {
    let mut existing = zones(1, 4);
    let mut plan = follower(&mut existing);
    let needed = plan.need();
    for at in [5_000, 6_000, 7_000] {
        plan.measure(Millis(at), needed, &existing);
        plan.observe(Millis(at), &roomy(), &existing);
    }
    plan.release();
    let mut ordered = existing.clone();
    let orders = plan.orders(Millis(8_000), &roomy(), &existing);
    carry_out(&mut ordered, &orders);
    let count = |zones: &BTreeMap<String, Zone>| {
        let counts = zones.values().map(|zone| zone.on_demand + zone.reclaimable);
        counts.sum::<u64>()
    };
    assert!(plan.need() >= 2.0 * needed, "{}", plan.need());
    assert!(count(&ordered) > count(&existing), "{orders:?}");
}

/// Another daemon ordered fewer upstreams meanwhile: the earlier orders of the one that comes back are
/// no longer in force, although its plan wants the same.
#[test]
fn a_holder_that_comes_back_repeats_what_another_one_changed() {
    let mut existing = zones(3, 0);
    let mut plan = observed_plan(&existing);
    for at in [3_200, 3_600] {
        let orders = plan.orders(Millis(at), &roomy(), &existing);
        assert_ne!(orders, Vec::new());
        carry_out(&mut existing, &orders);
    }
    assert_eq!(plan.orders(Millis(4_000), &roomy(), &existing), Vec::new());
    // The lease is lost, and another holder orders one upstream more in a zone.
    plan.release();
    let zone = existing.get_mut("b").expect("the zone is known");
    let wanted = zone.reclaimable;
    zone.reclaimable += 1;
    plan.observe(Millis(4_400), &roomy(), &existing);
    let orders = plan.orders(Millis(4_800), &roomy(), &existing);
    let repeated = Order {
        zone: "b".to_owned(),
        reclaimable: true,
        count: wanted,
    };
    assert_eq!(orders, vec![repeated]);
}

/// Upstreams of a version that was taken back leave during a succession: an order for fewer than there
/// are removes those that serve, whoever places it.
#[test]
fn a_successor_waits_for_a_withheld_version_as_its_predecessor_did() {
    let mut existing = zones(1, 4);
    let mut plan = follower(&mut existing);
    let zone = existing.get_mut("a").expect("the zone is known");
    (zone.reclaimable, zone.withheld) = (0, 4);
    plan.observe(Millis(5_000), &roomy(), &existing);
    plan.release();
    assert_eq!(plan.orders(Millis(5_400), &roomy(), &existing), Vec::new());
    // The time counts from when the successor saw it, before it had the lease.
    assert_eq!(plan.orders(Millis(24_900), &roomy(), &existing), Vec::new());
    assert_ne!(plan.orders(Millis(25_000), &roomy(), &existing), Vec::new());
}

const CLEAR: Sight = Sight {
    has_registry: true,
    has_fleet: true,
};

/// Records a round every 400 ms while something is out of sight; returns the last cause.
fn watch(
    observation: &mut Observation,
    rounds: std::ops::Range<u64>,
    sight: Sight,
) -> Option<Cause> {
    let rounds = rounds.map(|round| observation.record(Millis(round * 400), sight));
    rounds.last().flatten()
}

/// A successor that was cut off from the other daemons measures a fraction of the load, and would
/// order fewer upstreams; one that can't read the registry counts upstreams that are gone.
#[test]
fn a_successor_that_was_cut_off_while_it_observed_observes_anew() {
    let isolated = Sight {
        has_fleet: false,
        ..CLEAR
    };
    let unread = Sight {
        has_registry: false,
        ..CLEAR
    };
    for (sight, cause) in [(isolated, Cause::Isolated), (unread, Cause::Registry)] {
        let mut observation = Observation::default();
        assert_eq!(watch(&mut observation, 0..10, CLEAR), None);
        // A lost call or a few lost datagrams change nothing.
        assert_eq!(watch(&mut observation, 10..15, sight), None);
        assert_eq!(watch(&mut observation, 15..16, CLEAR), None);
        assert_eq!(watch(&mut observation, 16..22, sight), None);
        // While it lasts, nothing is kept.
        assert_eq!(watch(&mut observation, 22..23, sight), Some(cause));
        assert_eq!(watch(&mut observation, 23..40, sight), Some(cause));
        assert_eq!(watch(&mut observation, 40..41, CLEAR), None);
    }
}

/// The load that a plan knows must not fall in a break that is not noticed so far that it orders fewer
/// upstreams.
#[test]
fn a_break_that_is_not_noticed_removes_no_upstream() {
    let mut existing = zones(0, 6);
    let mut plan = observed_plan(&existing);
    plan.measure(Millis(3_200), 4.0, &existing);
    let orders = plan.orders(Millis(3_200), &roomy(), &existing);
    carry_out(&mut existing, &orders);
    let mut at = Millis(3_200);
    while at < Millis(3_200) + capacity::MAX_GAP {
        at = at + Millis(400);
        plan.measure(at, 0.1, &existing);
        assert_eq!(plan.orders(at, &roomy(), &existing), Vec::new(), "{at:?}");
    }
}

/// A frozen daemon has missed reclaims and surges; a round with many slow calls is no freeze.
#[test]
fn a_frozen_daemon_observes_anew() {
    let mut observation = Observation::default();
    assert_eq!(watch(&mut observation, 0..10, CLEAR), None);
    for call in 1..5 {
        observation.wake(Millis(3_600 + call * 1_600));
    }
    assert_eq!(observation.record(Millis(10_400), CLEAR), None);
    assert_eq!(
        observation.record(Millis(12_700), CLEAR),
        Some(Cause::Frozen)
    );
    assert_eq!(observation.record(Millis(13_100), CLEAR), None);
    // Frozen while a call of the round was under way.
    observation.wake(Millis(16_000));
    assert_eq!(
        observation.record(Millis(16_400), CLEAR),
        Some(Cause::Frozen)
    );
    // Its plan is as new as that of a daemon that starts.
    let mut plan = Plan::default();
    let existing = zones(1, 4);
    plan.measure(Millis(16_400), 5.0, &existing);
    let before = Millis(16_400) + capacity::OBSERVATION_PERIOD;
    assert_eq!(
        plan.orders(Millis(before.0 - 1), &roomy(), &existing),
        Vec::new()
    );
    assert_ne!(plan.orders(before, &roomy(), &existing), Vec::new());
}
