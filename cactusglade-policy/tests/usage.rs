//! Guards against counts that are dropped before the report of their window is due.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use cactusglade_policy::usage::Counts;
use cactusglade_policy::usage::Frontier;
use cactusglade_policy::usage::Ledger;
use cactusglade_policy::usage::MAX_CLOCK_DIFFERENCE;
use cactusglade_policy::usage::Settlement;
use cactusglade_policy::usage::Windows;

/// The daemon that reports may have taken the lease seconds after the window has ended.
#[test]
fn a_ledger_keeps_the_counts_of_a_window_until_its_report_is_due() {
    for (window, report_within) in [(1_000, 10_000), (5_000, 10_000), (7_000, 10_000)] {
        let (window, report_within) = (Millis(window), Millis(report_within));
        let mut ledger = Ledger::new(window, report_within);
        let counts = Counts::from([(1, 5)]);
        ledger.record("one", &BTreeMap::from([(100, counts.clone())]));
        let last_due = 100 + report_within.0.div_ceil(window.0);
        for later in 101..=last_due {
            ledger.record("one", &BTreeMap::from([(later, counts.clone())]));
        }
        assert_eq!(ledger.sum(100), counts, "{window:?}");
    }
}

/// After a restoration of the store, which loses the final sums of windows, another daemon summed them
/// up anew and reported other counts.
#[test]
fn windows_whose_sums_may_be_lost_are_closed() {
    let mut settlement = Settlement::default();
    assert!(!settlement.enter_era(0, None, 40), "a store without eras");
    assert!(settlement.is_open(30));
    assert!(settlement.enter_era(1, None, 40));
    assert!(!settlement.is_open(40) && settlement.is_open(41));
    assert!(!settlement.enter_era(1, None, 45), "the same era");
    assert!(settlement.is_open(41));
    assert!(
        settlement.enter_era(2, Some(43), 45),
        "by who knows all sums"
    );
    assert!(!settlement.is_open(43) && settlement.is_open(44));
    assert!(settlement.enter_era(3, None, 45));
    assert!(!settlement.is_open(45) && settlement.is_open(46));
}

/// Sums whose row was malformed were formed anew, and reported with other counts.
#[test]
fn windows_whose_sums_are_lost_within_an_era_are_closed() {
    let mut settlement = Settlement::default();
    settlement.close(Some(40), 42);
    assert!(!settlement.is_open(40) && settlement.is_open(41));
    settlement.close(None, 42);
    assert!(!settlement.is_open(42) && settlement.is_open(43));
    settlement.close(None, 30);
    assert!(!settlement.is_open(42), "a closed window stays closed");
}

/// A window whose sums were dropped counted as open; only the order of the steps kept its new sums from
/// being reported.
#[test]
fn windows_whose_sums_are_dropped_are_closed() {
    let mut settlement = Settlement::default();
    let mut sums = (40..48).map(|window| (window, ())).collect();
    settlement.retain(&mut sums, 6);
    assert!(sums.keys().copied().eq(42..48));
    assert!(!settlement.is_open(41) && settlement.is_open(42));
    sums.insert(38, ());
    settlement.retain(&mut sums, 6);
    assert!(sums.keys().copied().eq(42..48));
    assert!(!settlement.is_open(41), "a closed window stays closed");
}

/// Windows were closed up to the newest one by the successor's time of day, so that those that an
/// earlier holder with a later time of day had reported were summed up anew.
#[test]
fn windows_are_closed_by_the_latest_time_of_day() {
    let (length, unix_now) = (Millis(1_000), Millis(100_500));
    let windows = Windows::new(length);
    assert_eq!(windows.latest_time(unix_now, []), unix_now);
    assert_eq!(windows.latest_time(unix_now, [90, 99]), unix_now);
    let ahead = windows.latest_time(unix_now, [99, 107, 104]);
    assert_eq!(windows.window(ahead), 107);
    let mut settlement = Settlement::default();
    settlement.enter_era(1, None, windows.window(ahead));
    assert!(!settlement.is_open(107) && settlement.is_open(108));
}

/// Guards against a time of day that is off by hours, or a malformed row, that closes all windows.
#[test]
fn windows_far_ahead_are_ignored() {
    let (length, unix_now) = (Millis(1_000), Millis(100_500));
    let windows = Windows::new(length);
    let last = windows.window(unix_now + MAX_CLOCK_DIFFERENCE);
    let latest = windows.latest_time(unix_now, [last, last + 1, 50_000, u64::MAX]);
    assert_eq!(windows.window(latest), last);
    assert_eq!(windows.latest_time(unix_now, [u64::MAX]), unix_now);
}

/// One zone that states a window far ahead must not hide what the others state.
#[test]
fn the_newest_window_of_each_zone_counts_until_its_next_statement() {
    let windows = Windows::new(Millis(5_000));
    let mut frontier = Frontier::default();
    frontier.record("a", 9_000_000);
    frontier.record("b", 203);
    let latest = |frontier: &Frontier| {
        let counted = frontier.zones().map(|(_, window)| window);
        windows.latest_time(Millis(1_000_000), counted)
    };
    assert_eq!(latest(&frontier), windows.end(203) - Millis(1));
    frontier.record("a", 204);
    assert_eq!(latest(&frontier), windows.end(204) - Millis(1));
    for zone in 0..1_000 {
        frontier.record(&format!("zone-{zone}"), 1);
    }
    assert!(frontier.zones().count() <= 256, "datagrams have a bound");
}
