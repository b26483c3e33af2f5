//! Guards against daemons that choose alike because their information is late, missing or false.

use cactusglade_core::units::Millis;
use cactusglade_policy::estimate::Baseline;
use cactusglade_policy::estimate::Estimate;
use cactusglade_policy::estimate::Flow;
use cactusglade_policy::estimate::Tuning;

/// What is usual at application servers: four requests of 60 ms.
const USUAL: Baseline = Baseline {
    load: 4.0,
    others: 4.0,
    variance: 4.0,
    residence_ms: 60.0,
    return_ms: 100.0,
    shared_fraction: 1.0,
};

fn reported(at: u64, load: f64) -> Estimate {
    let mut estimate = Estimate::default();
    estimate.record(Millis(at), load, 0);
    estimate
}

fn others(estimate: &Estimate, now: u64, usual: &Baseline) -> f64 {
    estimate.others(Millis(now), usual, &Tuning::default()).0
}

/// Returns how many of a hundred daemons draw no lesser load than at the first upstream.
fn followers(upstreams: &[Estimate], now: u64, usual: &Baseline) -> usize {
    let is_first = |daemon: &u64| {
        let loads = upstreams.iter().zip(1..).map(|(estimate, upstream)| {
            let bits = daemon * 1_000 + upstream;
            estimate.draw(Millis(now), 0, usual, &Tuning::default(), bits)
        });
        let loads = loads.collect::<Vec<_>>();
        loads[1..].iter().all(|load| loads[0] <= *load)
    };
    (0..100).filter(is_first).count()
}

/// All daemons get the same report at once. While it says much of the present, most follow it; once
/// the requests that it speaks of have ended, they must not all send theirs to one upstream.
#[test]
fn daemons_that_hear_the_same_late_report_do_not_all_follow_it() {
    let loads = [0.0, 8.0, 8.0, 8.0, 8.0];
    let upstreams = loads.map(|load| reported(1_000, load));
    let long = Baseline {
        return_ms: 60_000.0,
        ..USUAL
    };
    let fresh = followers(&upstreams, 1_250, &long);
    assert!(fresh >= 90, "{fresh} follow a report of long requests");
    let late = followers(&upstreams, 1_250, &USUAL);
    assert!(
        (20..60).contains(&late),
        "{late} follow a report of short requests"
    );
}

/// Information stops arriving: an upstream that was idle, or of which nothing was heard, looked idle
/// from then on, and got the requests of the whole fleet.
#[test]
fn an_upstream_that_nobody_hears_of_has_the_usual_load() {
    for load in [0.0, 4.0, 20.0] {
        let found = others(&reported(1_000, load), 11_000, &USUAL);
        assert!(
            (found - 4.0).abs() < 0.1,
            "{found} after a report of {load}"
        );
    }
    let unheard = others(&Estimate::default(), 11_000, &USUAL);
    assert!((unheard - 4.0).abs() < 0.1, "{unheard} without a report");
}

/// Another daemon's report covers three requests of this daemon, and not the two that it sent after.
#[test]
fn own_requests_are_counted_once_when_another_daemon_reports_them() {
    let mut estimate = Estimate::default();
    for at in [10, 20, 30, 400, 410] {
        estimate.record_own(Millis(at), true);
    }
    estimate.record(Millis(300), 8.0, 5);
    let long = Baseline {
        return_ms: 60_000.0,
        ..USUAL
    };
    let found = others(&estimate, 420, &long);
    assert!((found - 5.0).abs() < 0.1, "{found} by others");
}

/// One daemon sends most of the traffic: what is usual at the upstreams is its own, which it knows
/// exactly and must not expect from others once more.
#[test]
fn a_daemon_that_sends_all_requests_expects_none_of_others() {
    let mut flow = Flow::default();
    flow.reset(2.0, &[]);
    // Four requests in flight, one ends and another is sent every 25 ms.
    for at in 0..4 {
        flow.record_own(Millis(at * 25), true);
    }
    for at in 4..400 {
        flow.record_own(Millis(at * 25), true);
        flow.record_own(Millis(at * 25), false);
    }
    flow.record(3.0, 2.0, None);
    flow.record(3.0, 2.0, None);
    let baseline = flow.baseline();
    assert!(baseline.others < 0.2, "{baseline:?}");
    assert!((baseline.residence_ms - 100.0).abs() < 20.0, "{baseline:?}");
}

/// An upstream reports a false load: it must neither spoil what is known of the others nor stay out
/// for good, since it is asked for its load only with requests.
#[test]
fn a_false_report_is_believed_in_part_and_forgotten() {
    let bounded = Baseline::bounded(1e18, 6.0);
    assert!(bounded < 30.0, "{bounded} bounded");
    let after = others(&reported(1_000, bounded), 3_000, &USUAL);
    assert!(after < 7.0, "{after} two seconds later");
}
