//! Guards against an organisation that gets more or less than its weighted share, also when other
//! daemons serve it, after idling, or with deferrable requests.

use std::collections::BTreeMap;

use cactusglade_check::check;
use cactusglade_core::arena::Organisation;
use cactusglade_core::meta::Class;
use cactusglade_policy::fair::Queue;
use slotmap::SlotMap;

const COST: u64 = 100;

fn organisations() -> (Organisation, Organisation) {
    let mut slots: SlotMap<Organisation, ()> = SlotMap::with_key();
    (slots.insert(()), slots.insert(()))
}

/// The weighted service of two backlogged organisations differs by at most one request of each.
#[test]
fn backlogged_organisations_share_by_weight_within_the_bound() {
    check::run::<(u8, u8, Vec<u8>)>(5_000, |(weight_one, weight_two, costs)| {
        let (one, two) = organisations();
        let weights = [u64::from(weight_one % 8) + 1, u64::from(weight_two % 8) + 1];
        let mut queue = Queue::default();
        queue.set_weight(one, weights[0]);
        queue.set_weight(two, weights[1]);
        for number in 0..costs.len() {
            queue.push(one, Class::Interactive, number * 2);
            queue.push(two, Class::Interactive, number * 2 + 1);
        }
        let mut served = [0_u64; 2];
        let greatest = costs
            .iter()
            .map(|cost| u64::from(*cost) + 1)
            .max()
            .unwrap_or(1);
        for cost in costs {
            let cost = u64::from(*cost) + 1;
            let item = queue.pop(cost).expect("both organisations are backlogged");
            served[item % 2] += cost;
            let shares = [served[0] * weights[1], served[1] * weights[0]];
            let bound = greatest * weights[0] + greatest * weights[1] + 1;
            assert!(
                shares[0].abs_diff(shares[1]) <= bound,
                "served {served:?} tokens with weights {weights:?}"
            );
        }
    });
}

#[test]
fn an_idle_organisation_earns_no_credit() {
    let (one, two) = organisations();
    let mut queue = Queue::default();
    queue.push(two, Class::Interactive, 1);
    queue.pop(COST);
    for number in 0..1_000 {
        queue.push(one, Class::Interactive, number);
        queue.pop(COST);
    }
    for number in 0..100 {
        queue.push(one, Class::Interactive, number * 2);
        queue.push(two, Class::Interactive, number * 2 + 1);
    }
    let first = (0..20)
        .filter(|_| queue.pop(COST).is_some_and(|item| item % 2 == 0))
        .count();
    assert!(
        (9..=11).contains(&first),
        "{first} of 20 grants went to the first organisation"
    );
}

#[test]
fn service_by_other_daemons_counts() {
    let (one, two) = organisations();
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(one, Class::Interactive, number * 2);
        queue.push(two, Class::Interactive, number * 2 + 1);
    }
    queue.charge_remote(one, 10 * COST);
    let two_first = (0..10).all(|_| queue.pop(COST).is_some_and(|item| item % 2 == 1));
    assert!(
        two_first,
        "an organisation served by another daemon went first"
    );
}

#[test]
fn service_by_other_daemons_does_not_starve_an_organisation_later() {
    let (one, two) = organisations();
    let mut queue = Queue::default();
    queue.charge_remote(one, 1_000_000_000);
    for number in 0..1_000 {
        queue.push(one, Class::Interactive, number * 2);
        queue.push(two, Class::Interactive, number * 2 + 1);
    }
    let mut served: BTreeMap<usize, u64> = BTreeMap::new();
    for _ in 0..1_000 {
        let item = queue.pop(COST).expect("both organisations are backlogged");
        *served.entry(item % 2).or_default() += COST;
    }
    assert!(served.get(&0).copied().unwrap_or(0) >= 30_000, "{served:?}");
}

#[test]
fn deferrable_work_waits_but_is_not_starved() {
    let (one, _) = organisations();
    let mut queue = Queue::default();
    for number in 0..100 {
        queue.push(one, Class::Interactive, number * 2);
        queue.push(one, Class::Deferrable, number * 2 + 1);
    }
    let items = (0..40).filter_map(|_| queue.pop(COST)).collect::<Vec<_>>();
    let deferrable = items.iter().filter(|item| *item % 2 == 1).count();
    assert_eq!(deferrable, 4);
    assert_eq!(items[0] % 2, 0);
}

#[test]
fn the_queue_is_work_conserving() {
    check::run::<Vec<(bool, bool, u8)>>(5_000, |steps| {
        let (one, two) = organisations();
        let mut queue = Queue::default();
        let mut waiting = 0;
        for (number, (push, first, cost)) in steps.iter().enumerate() {
            let organisation = if *first { one } else { two };
            if *push {
                let class = if cost % 2 == 0 {
                    Class::Interactive
                } else {
                    Class::Deferrable
                };
                queue.push(organisation, class, number);
                waiting += 1;
            } else {
                let popped = queue.pop(u64::from(*cost)).is_some();
                assert_eq!(popped, waiting > 0, "a waiting request was not returned");
                waiting -= usize::from(popped);
            }
            assert_eq!(queue.len(), waiting);
        }
    });
}
