//! Guards against counts that are dropped before the report of their window is due.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use cactusglade_policy::usage::Counts;
use cactusglade_policy::usage::Ledger;

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
