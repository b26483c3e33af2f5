//! Guards against good versions that are vetoed, bad ones that are detected late, and rollouts that
//! pass their deadline or change their outcome.

use cactusglade_check::check;
use cactusglade_core::meta::Rollout;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::row::Status;
use cactusglade_core::units::Millis;
use cactusglade_policy::rollout::Detector;
use cactusglade_policy::rollout::Progress;
use cactusglade_policy::rollout::share;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of simulated versions per rate.
const TRIALS: u64 = 1_000;
/// Number of answers of the new version in one rollout.
const ANSWERS: u64 = 2_000;
/// Maximum number of good versions that are vetoed: 1 in 100, as docs/DESIGN.md states.
const MAX_FALSE_ALARMS: u64 = TRIALS / 100;
/// Number of answers within which versions that fail half of them are vetoed, 99 times in 100.
const MAX_DETECTION_ANSWERS: u64 = 40;

fn count(bad: bool) -> Count {
    Count {
        good: u64::from(!bad),
        bad: u64::from(bad),
    }
}

/// Returns the number of answers of the new version before the one that leads to its veto.
fn vetoed_after(seed: u64, old: f64, new: f64, from: u64) -> Option<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut detector = Detector::default();
    (0..ANSWERS).find(|number| {
        for _ in 0..9 {
            detector.record_old(count(random.random_bool(old)));
        }
        let rate = if *number < from { old } else { new };
        detector.record_new(count(random.random_bool(rate)));
        detector.is_bad()
    })
}

#[test]
fn good_versions_are_rarely_vetoed_noisy_ones_included() {
    for noise in [0.0, 0.02, 0.05, 0.10] {
        let alarms = (0..TRIALS).filter(|seed| vetoed_after(*seed, noise, noise, 0).is_some());
        let alarms = alarms.count() as u64;
        println!("noise {noise}: {alarms} of {TRIALS} good versions vetoed");
        assert!(
            alarms <= MAX_FALSE_ALARMS,
            "noise {noise}: {alarms} of {TRIALS} good versions vetoed"
        );
    }
}

#[test]
fn bad_versions_are_vetoed_soon_also_when_they_degrade_later() {
    for from in [0, 500] {
        for noise in [0.0, 0.05] {
            let is_late = |seed: &u64| {
                vetoed_after(*seed, noise, 0.5, from)
                    .is_none_or(|at| at >= from + MAX_DETECTION_ANSWERS)
            };
            let missed = (0..TRIALS).filter(is_late).count() as u64;
            println!("noise {noise}, bad from {from}: {missed} of {TRIALS} found late");
            assert!(
                missed <= TRIALS / 100,
                "noise {noise}, bad from {from}: {missed} of {TRIALS} found late"
            );
        }
    }
}

fn object() -> Rollout {
    Rollout {
        model: "chat".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        steps: vec![5, 50],
        step_ms: Millis(1_000),
        evidence: 10,
        deadline_unix_ms: Millis(100_000),
    }
}

fn row(status: Status, step: u64) -> Move {
    Move {
        status,
        step,
        reason: String::new(),
        at_unix_ms: Millis(0),
        deadline_unix_ms: Millis(100_000),
    }
}

#[test]
fn the_share_is_zero_unless_a_row_sets_it() {
    let object = object();
    let before = Millis(1);
    let moving = row(Status::Moving, 1);
    assert_eq!(share(&object, None, false, before), 0);
    assert_eq!(share(&object, Some(&moving), false, before), 50);
    assert_eq!(share(&object, Some(&moving), true, before), 0);
    assert_eq!(
        share(&object, Some(&moving), false, object.deadline_unix_ms),
        0
    );
    let done = row(Status::Done, 1);
    assert_eq!(
        share(&object, Some(&done), false, object.deadline_unix_ms),
        100
    );
    let undone = row(Status::Undone, 1);
    assert_eq!(share(&object, Some(&undone), false, before), 0);
}

#[test]
fn a_step_needs_time_and_evidence() {
    let object = object();
    let (mut progress, mut detector) = (Progress::default(), Detector::default());
    let start = row(Status::Moving, 0);
    let mut next = |now: u64, detector: &Detector| {
        progress.next(
            Millis(now),
            Millis(now),
            &object,
            Some(&start),
            detector,
            None,
        )
    };
    assert_eq!(next(0, &detector), None);
    assert_eq!(
        next(5_000, &detector),
        None,
        "a step was taken without evidence"
    );
    for _ in 0..10 {
        detector.record_new(count(false));
    }
    let moved = next(6_000, &detector).expect("the next step is taken after time and evidence");
    assert_eq!((moved.status, moved.step), (Status::Moving, 1));
}

#[test]
fn every_outcome_is_written_once_and_never_changes() {
    check::run::<Vec<(u16, u8, bool)>>(5_000, |steps| {
        let object = object();
        let (mut progress, mut detector) = (Progress::default(), Detector::default());
        let (mut stored, mut now) = (None::<Move>, 0_u64);
        for (interval, answers, bad) in steps {
            now += u64::from(*interval) / 16;
            for _ in 0..answers % 16 {
                detector.record_new(count(*bad));
            }
            let veto = detector.is_bad().then_some("bad");
            let at = Millis(now);
            let next = progress.next(at, at, &object, stored.as_ref(), &detector, veto);
            let Some(next) = next else { continue };
            if let Some(stored) = &stored {
                assert_eq!(stored.status, Status::Moving, "an outcome was changed");
                assert!(next.step <= stored.step + 1, "a step was skipped");
            }
            if next.status == Status::Done {
                assert!(
                    at < object.deadline_unix_ms,
                    "a rollout was completed after the deadline"
                );
                assert!(veto.is_none(), "a vetoed version was completed");
            }
            stored = Some(next);
        }
        let end = object.deadline_unix_ms;
        let last = progress.next(end, end, &object, stored.as_ref(), &detector, None);
        let ended = last.or(stored).expect("a row is stored by the deadline");
        assert_ne!(
            ended.status,
            Status::Moving,
            "the deadline passed without an outcome"
        );
    });
}
