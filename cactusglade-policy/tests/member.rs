//! Guards against rows that move backwards, and against daemons that don't converge when rows
//! arrive in any order or answers are lost.

use std::collections::BTreeMap;

use cactusglade_check::check;
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

fn row(kind: u8, name: u8, precedence: u8) -> (Key, Value) {
    match kind % 3 {
        0 => {
            let head = Head {
                generation: Generation(u64::from(precedence)),
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
            Value::Daemon(daemon(1, precedence, 0)),
        ),
    }
}

fn daemon(incarnation: u64, heartbeat: u8, tokens: u64) -> Daemon {
    Daemon {
        incarnation,
        heartbeat: u64::from(heartbeat),
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
fn rows_converge_in_any_order_and_never_move_backwards() {
    check::run::<Vec<(u8, u8, u8)>>(5_000, |rows| {
        let rows = rows
            .iter()
            .map(|(kind, name, precedence)| row(*kind, *name, *precedence));
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
fn pulls_transfer_every_row_even_when_answers_are_lost() {
    check::run::<Vec<(u8, u8, u8, bool)>>(5_000, |steps| {
        let (mut source, mut target) = (State::default(), State::default());
        let mut known = 0;
        for (kind, name, precedence, lost) in steps {
            source.merge(NOW, vec![row(*kind, *name, *precedence)]);
            let (changes, rows) = source.changes_since(known);
            if !lost {
                target.merge(NOW, rows);
                known = changes;
            }
        }
        let (_, rows) = source.changes_since(known);
        target.merge(NOW, rows);
        assert_eq!(all(&source), all(&target));
    });
}

#[test]
fn usage_of_a_daemon_counts_once_and_restarts_with_its_process() {
    let (first, second, restarted) = (daemon(1, 1, 10), daemon(1, 2, 25), daemon(2, 1, 4));
    assert_eq!(difference(None, &first).usage["north"], 10);
    assert_eq!(difference(Some(&first), &second).usage["north"], 15);
    assert_eq!(difference(Some(&second), &restarted).usage["north"], 4);
    assert_eq!(difference(Some(&first), &second).evidence["r"].good, 15);
}

#[test]
fn a_daemon_without_heartbeats_is_not_alive_and_later_dropped() {
    let mut state = State::default();
    state.merge(NOW, vec![row(2, 0, 1)]);
    assert_eq!(state.alive(Millis(1_000)).len(), 1);
    assert_eq!(state.alive(Millis(60_000)).len(), 0);
    state.expire(Millis(3_600_000));
    assert_eq!(state.rows().count(), 0);
}
