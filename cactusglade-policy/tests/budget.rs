//! Guards against retries beyond the budget that the platform allows, under any traffic.

use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_policy::budget::Bounds;
use cactusglade_policy::budget::Budget;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    window: Millis(10_000),
    slack: 54.0,
};

#[test]
fn any_traffic_keeps_retries_of_every_window_within_the_share() {
    check::run::<Vec<(u8, bool)>>(2_000, |events| {
        let mut budget = Budget::default();
        let mut now = 0;
        let mut log: Vec<(u64, bool)> = Vec::new();
        for (pause, is_retry) in events {
            now += u64::from(*pause) * 10;
            if !is_retry {
                budget.record_request(Millis(now), &BOUNDS);
                log.push((now, false));
            } else if budget.try_retry(Millis(now), &BOUNDS, 9.0) {
                log.push((now, true));
            }
            let count = |retries: bool, end: u64| {
                let in_window = log
                    .iter()
                    .filter(|(at, _)| *at <= end && *at + BOUNDS.window.0 > end);
                in_window.filter(|(_, retry)| *retry == retries).count()
            };
            // The platform counts the requests of this window, of the previous one, or of the
            // one half a window earlier, whichever has most.
            let ends = [now, now.saturating_sub(5_000), now.saturating_sub(10_000)];
            let requests = ends.map(|end| count(false, end)).into_iter().max();
            // In fifths of a retry, to avoid fractions.
            let limit = requests.unwrap_or_default() + 5 * 54 / 9;
            assert!(count(true, now) * 5 <= limit);
        }
    });
}

#[test]
fn some_retries_are_allowed_without_any_request() {
    let mut budget = Budget::default();
    assert!(budget.try_retry(Millis(0), &BOUNDS, 9.0));
}
