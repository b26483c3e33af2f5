//! Guards against rows that move backwards, and against daemons that don't converge when rows
//! arrive in any order or answers are lost.

use std::collections::BTreeMap;

use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_core::row::Head;
use cactusglade_core::row::Key;
use cactusglade_core::row::Value;
use cactusglade_core::units::Generation;
use cactusglade_core::units::Millis;
use cactusglade_policy::gossip::State;
use cactusglade_policy::gossip::difference;

const NOW: Millis = Millis(0);

fn row(kind: u8, name: u8, rank: u8) -> (Key, Value) {
    match kind % 3 {
        0 => {
            let head = Head {
                generation: Generation(u64::from(rank)),
                ..Head::default()
            };
            (Key::Head, Value::Head(head))
        }
        1 => {
            let key = Key::Leaving((name % 4).to_string(), 0);
            (key, Value::Leaving(Millis(7)))
        }
        _ => (
            Key::Daemon((name % 4).to_string()),
            Value::Daemon(daemon(1, rank, 0)),
        ),
    }
}

fn daemon(incarnation: u64, beat: u8, tokens: u64) -> Daemon {
    Daemon {
        incarnation,
        heartbeat: u64::from(beat),
        peers: String::new(),
        zone: String::new(),
        generation: Generation(0),
        usage: BTreeMap::from([("north".to_owned(), tokens)]),
        evidence: BTreeMap::from([(
            "r".to_owned(),
            Count {
                good: tokens,
                bad: 0,
            },
        )]),
    }
}

fn all(state: &State) -> Vec<(Key, Value)> {
    state
        .rows()
        .map(|(key, value)| (key.clone(), value.clone()))
        .collect()
}

#[test]
fn the_order_of_rows_does_not_matter_and_none_goes_back() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8)>>()
        .with_iterations(5_000)
        .for_each(|rows| {
            let rows = rows
                .iter()
                .map(|(kind, name, rank)| row(*kind, *name, *rank));
            let rows = rows.collect::<Vec<_>>();
            let (mut forward, mut backward) = (State::default(), State::default());
            for pair in &rows {
                let before = forward.get(&pair.0).map(Value::precedence);
                forward.merge(NOW, vec![pair.clone()]);
                assert!(forward.get(&pair.0).map(Value::precedence) >= before);
            }
            backward.merge(NOW, rows.iter().rev().cloned().collect());
            assert_eq!(all(&forward), all(&backward));
            assert!(
                forward.merge(NOW, rows).is_empty(),
                "known rows were returned as changed"
            );
        });
}

#[test]
fn pulls_bring_every_row_even_when_answers_are_lost() {
    bolero::check!()
        .with_type::<Vec<(u8, u8, u8, bool)>>()
        .with_iterations(5_000)
        .for_each(|steps| {
            let (mut there, mut here) = (State::default(), State::default());
            let mut known = 0;
            for (kind, name, rank, lost) in steps {
                there.merge(NOW, vec![row(*kind, *name, *rank)]);
                let (changes, rows) = there.changes_since(known);
                if !lost {
                    here.merge(NOW, rows);
                    known = changes;
                }
            }
            let (_, rows) = there.changes_since(known);
            here.merge(NOW, rows);
            assert_eq!(all(&there), all(&here));
        });
}

#[test]
fn work_of_a_daemon_counts_once_and_starts_anew_with_its_process() {
    let (first, second, anew) = (daemon(1, 1, 10), daemon(1, 2, 25), daemon(2, 1, 4));
    assert_eq!(difference(None, &first).usage["north"], 10);
    assert_eq!(difference(Some(&first), &second).usage["north"], 15);
    assert_eq!(difference(Some(&second), &anew).usage["north"], 4);
    assert_eq!(difference(Some(&first), &second).evidence["r"].good, 15);
}

#[test]
fn a_silent_daemon_is_no_longer_alive_and_later_forgotten() {
    let mut state = State::default();
    state.merge(NOW, vec![row(2, 0, 1)]);
    assert_eq!(state.alive(Millis(1_000)).len(), 1);
    assert_eq!(state.alive(Millis(60_000)).len(), 0);
    state.expire(Millis(3_600_000));
    assert_eq!(state.rows().count(), 0);
}
