//! Guards against daemons that read the registry although nothing in it changed: the revision of
//! the store advances with each write to any table, several times a second in a large fleet.

use cactusglade_check::check;
use cactusglade_core::units::Millis;
use cactusglade_policy::relay::Progress;
use cactusglade_policy::relay::Reading;

fn read(progress: &mut Progress, after: u64, revision: u64, has_changes: bool) -> u64 {
    let reading = Reading {
        after: Some(after.into()),
        revision: revision.into(),
        has_changes,
    };
    progress.record(Millis(0), &reading).into()
}

#[test]
fn writes_to_other_tables_announce_nothing_new() {
    let mut progress = Progress::default();
    let snapshot = Reading {
        after: None,
        revision: 100.into(),
        has_changes: true,
    };
    progress.record(Millis(0), &snapshot);
    for (after, revision) in [(100, 130), (130, 170), (170, 220)] {
        read(&mut progress, after, revision, false);
    }
    assert_eq!(progress.revision(), 100.into());
}

#[test]
fn changes_after_quiet_reads_apply_to_the_last_announced_revision() {
    let mut progress = Progress::default();
    assert_eq!(read(&mut progress, 0, 100, true), 0);
    assert_eq!(read(&mut progress, 100, 150, false), 100);
    assert_eq!(read(&mut progress, 150, 160, true), 100);
    assert_eq!(progress.revision(), 160.into());
}

#[test]
fn the_age_is_that_of_the_last_read_even_without_changes() {
    let mut progress = Progress::default();
    assert_eq!(progress.age(Millis(5)), None);
    read(&mut progress, 0, 100, true);
    let reading = Reading {
        after: Some(100.into()),
        revision: 140.into(),
        has_changes: false,
    };
    progress.record(Millis(900), &reading);
    assert_eq!(progress.age(Millis(1_000)), Some(Millis(100)));
}

/// A relay reads the registry; a follower applies what it forwards, and reads the store itself
/// where it is told of a revision that it has not reached. Datagrams to one of two followers are lost
/// at random, and the three swap roles at random.
#[test]
fn a_follower_misses_no_change_when_datagrams_are_lost_and_relays_change() {
    check::run::<Vec<(u8, bool, bool)>>(5_000, |steps| {
        let mut store = Vec::new();
        let mut revision = 0_u64;
        let mut daemons = [0, 1, 2].map(|_| (Progress::default(), 0_u64, Vec::new()));
        let mut relay = 0;
        for (step, is_lost, swaps) in steps {
            revision += 1 + u64::from(*step % 5);
            if step % 3 == 0 {
                store.push(revision);
            }
            if *swaps {
                relay = (relay + 1) % daemons.len();
            }
            let changes_after = |after: u64| {
                let changes = store.iter().copied().filter(move |change| *change > after);
                changes.collect::<Vec<_>>()
            };
            let (progress, known, applied) = &mut daemons[relay];
            let changes = changes_after(*known);
            let base = read(progress, *known, revision, !changes.is_empty());
            applied.extend(changes.iter().copied());
            *known = revision;
            let announced = u64::from(progress.revision());
            for (number, (progress, known, applied)) in daemons.iter_mut().enumerate() {
                if number == relay {
                    continue;
                }
                // A lost datagram still reaches the other follower.
                let is_lost = *is_lost && number == (relay + 1) % 3;
                if !is_lost && !changes.is_empty() && base <= *known && revision > *known {
                    applied.extend(changes.iter().copied().filter(|change| *change > *known));
                    *known = revision;
                }
                if announced > *known {
                    let missing = changes_after(*known);
                    read(progress, *known, revision, !missing.is_empty());
                    applied.extend(missing);
                    *known = revision;
                }
            }
            for (_, _, applied) in &daemons {
                assert_eq!(applied, &store, "after the step to revision {revision}");
            }
        }
    });
}
