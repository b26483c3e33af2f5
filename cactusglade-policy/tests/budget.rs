//! Repeats stay within the shared budget whatever a daemon meets.

use cactusglade_core::units::Millis;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::budget::Budget;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    window: Millis(10_000),
    slack: 54.0,
};

#[test]
fn any_traffic_keeps_every_window_within_the_share() {
    bolero::check!()
        .with_type::<Vec<(u8, bool)>>()
        .with_iterations(2_000)
        .for_each(|events| {
            let mut budget = Budget::default();
            let mut now = 0;
            let mut log: Vec<(u64, bool)> = Vec::new();
            for (pause, is_repeat) in events {
                now += u64::from(*pause) * 10;
                if !is_repeat {
                    budget.request(Millis(now), &BOUNDS);
                    log.push((now, false));
                } else if budget.repeat(Millis(now), &BOUNDS, 9.0) {
                    log.push((now, true));
                }
                let inside = log.iter().filter(|(at, _)| *at + BOUNDS.window.0 > now);
                let (repeats, requests): (Vec<_>, Vec<_>) = inside.partition(|(_, repeat)| *repeat);
                let most = 0.2 * f64::from(u32::try_from(requests.len()).unwrap_or(0)) + 54.0 / 9.0;
                assert!(f64::from(u32::try_from(repeats.len()).unwrap_or(0)) <= most);
            }
        });
}

#[test]
fn some_repeats_are_allowed_without_any_request() {
    let mut budget = Budget::default();
    assert!(budget.repeat(Millis(0), &BOUNDS, 9.0));
}
