//! Guards against sending a non-idempotent request twice when writes are delayed, answers are lost,
//! or processes die.

use cactusglade_check::check;
use cactusglade_core::errors::Kind;
use cactusglade_core::errors::Ran;
use cactusglade_core::row::Attempt;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;
use cactusglade_policy::ledger::Action;
use cactusglade_policy::ledger::Entry;
use cactusglade_policy::ledger::Event;

const ATTEMPTS: usize = 4;

/// A delayed write to the table.
struct Write {
    owner: usize,
    expected: Option<Attempt>,
    row: Attempt,
}

/// Several attempts of one key against one row; the test chooses the result of every write.
struct Simulation {
    row: Option<Attempt>,
    entries: Vec<Option<(Entry, Action)>>,
    delayed: Vec<Write>,
    sent: Vec<usize>,
    not_run: Vec<usize>,
    answered: bool,
}

impl Simulation {
    fn new() -> Self {
        let entries = (0..ATTEMPTS).map(|number| {
            let entry = Entry::new(&format!("attempt-{number}"), "request");
            let action = entry.start();
            Some((entry, action))
        });
        Self {
            row: None,
            entries: entries.collect(),
            delayed: Vec::new(),
            sent: Vec::new(),
            not_run: Vec::new(),
            answered: false,
        }
    }

    fn apply(&mut self, expected: Option<&Attempt>, row: &Attempt) -> bool {
        let as_expected = self.row.as_ref() == expected;
        if as_expected {
            self.row = Some(row.clone());
        }
        as_expected
    }

    /// Carries out the next action of an attempt; `selector` chooses its result.
    fn step(&mut self, number: usize, selector: u8) {
        let Some((mut entry, action)) = self.entries[number].take() else {
            return;
        };
        let event = match action {
            Action::Write { expected, row } => self.write(number, expected, row, selector),
            Action::Read if selector.is_multiple_of(4) => Event::Unknown,
            Action::Read => Event::Row(self.row.clone()),
            Action::Send => return self.send(number, &entry, selector),
            Action::Replay(_) => {
                assert!(
                    self.answered,
                    "an answer was replayed that no attempt stored"
                );
                return;
            }
            Action::Refuse(kind) => return self.refuse(number, &entry, kind, selector),
        };
        let action = entry.step(event);
        self.entries[number] = Some((entry, action));
    }

    fn write(
        &mut self,
        owner: usize,
        expected: Option<Attempt>,
        row: Attempt,
        selector: u8,
    ) -> Event {
        match selector % 4 {
            // The write takes effect or conflicts, and the answer arrives.
            0 | 1 => {
                if self.apply(expected.as_ref(), &row) {
                    Event::Written
                } else {
                    Event::Conflict(self.row.clone())
                }
            }
            // The write takes effect or conflicts, and the answer is lost.
            2 => {
                self.apply(expected.as_ref(), &row);
                Event::Unknown
            }
            // The write is delayed.
            _ => {
                self.delayed.push(Write {
                    owner,
                    expected,
                    row,
                });
                Event::Unknown
            }
        }
    }

    fn send(&mut self, number: usize, entry: &Entry, selector: u8) {
        self.sent.push(number);
        let reply = Reply {
            status: 201,
            content_type: String::new(),
            body: number.to_string(),
        };
        match selector % 4 {
            // The process dies, or the answer is lost: the row stays open.
            0 => {}
            // The request provably did not run.
            1 => {
                self.not_run.push(number);
                self.settle(number, entry, Outcome::NotRun);
            }
            _ => {
                self.answered = true;
                self.settle(number, entry, Outcome::Answered(reply));
            }
        }
    }

    fn refuse(&mut self, number: usize, entry: &Entry, kind: Kind, selector: u8) {
        assert!(!self.sent.contains(&number));
        if kind == Kind::StoreUnavailable {
            assert_eq!(kind.answer().ran, Ran::No);
            // This row lets another attempt run; the process may die before writing it.
            if !selector.is_multiple_of(4) {
                self.settle(number, entry, Outcome::NotRun);
            }
        }
    }

    /// Records an outcome as a daemon does: over its own open row, or over an absent row.
    fn settle(&mut self, number: usize, entry: &Entry, outcome: Outcome) {
        let row = entry.outcome_row(outcome);
        if !self.apply(Some(entry.own()), &row) && self.row.is_none() {
            self.apply(None, &row);
        }
        let _ = number;
    }

    fn deliver(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        let write = self.delayed.remove(index % self.delayed.len());
        assert!(write.owner < ATTEMPTS);
        self.apply(write.expected.as_ref(), &write.row);
    }

    fn check(&self) {
        let may_have_run = self
            .sent
            .iter()
            .filter(|number| !self.not_run.contains(number));
        assert!(
            may_have_run.count() <= 1,
            "more than one attempt may have run: {:?}",
            self.sent
        );
        let mut unique = self.sent.clone();
        unique.sort_unstable();
        unique.dedup();
        assert_eq!(unique.len(), self.sent.len(), "an attempt was sent twice");
    }
}

#[test]
fn at_most_one_attempt_runs_under_any_order_of_events() {
    check::run::<Vec<(u8, u8)>>(20_000, |steps| {
        let mut simulation = Simulation::new();
        for (choice, selector) in steps {
            let choice = usize::from(*choice) % (ATTEMPTS + 1);
            if choice == ATTEMPTS {
                simulation.deliver(usize::from(*selector));
            } else {
                simulation.step(choice, *selector);
            }
            simulation.check();
        }
    });
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut first = Entry::new("one", "request");
    assert_eq!(first.step(Event::Written), Action::Send);
    let mut second = Entry::new("two", "other");
    let found = Some(first.own().clone());
    assert_eq!(
        second.step(Event::Conflict(found)),
        Action::Refuse(Kind::KeyReused)
    );
}

#[test]
fn after_a_lost_answer_the_row_is_read() {
    let mut entry = Entry::new("one", "request");
    assert_eq!(entry.step(Event::Unknown), Action::Read);
    let own = Some(entry.own().clone());
    assert_eq!(entry.step(Event::Row(own)), Action::Send);
}

#[test]
fn without_the_store_the_request_is_refused_before_it_is_sent() {
    let mut entry = Entry::new("one", "request");
    let mut action = entry.start();
    for _ in 0..10 {
        if let Action::Refuse(kind) = action {
            assert_eq!(kind.answer().ran, Ran::No);
            return;
        }
        assert_ne!(action, Action::Send);
        action = entry.step(Event::Unknown);
    }
    panic!("the request was not refused after ten unknown results");
}
