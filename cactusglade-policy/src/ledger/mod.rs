//! Decides whether a keyed non-idempotent request may be sent: at most once, by any daemon.
//!
//! The row (organisation, key) is inserted right before sending, on the condition that it is
//! absent. A row without an outcome means "may have run" and is never sent again. See
//! `docs/DESIGN.md`.

use cactusglade_core::errors::Kind;
use cactusglade_core::row::Attempt;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;

/// `Event` is what the table said.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written,
    /// The write did not take effect because the row is this one.
    Conflict(Option<Attempt>),
    /// Nobody knows whether the write took effect.
    Unknown,
    /// The table was read and holds this row.
    Row(Option<Attempt>),
}

/// `Action` is what to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the row on the condition that the table holds `expected`.
    Write {
        /// What the table must hold, nothing for an absent row.
        expected: Option<Attempt>,
        /// What it is to hold.
        row: Attempt,
    },
    /// Read the row back.
    Read,
    /// Send the request; it is this attempt's to send, once.
    Send,
    /// Give the stored answer.
    Replay(Reply),
    /// Refuse.
    Refuse(Kind),
}

/// Reads of an unsettled write before the request is refused.
const MAX_READS: u32 = 3;

/// `Entry` is one attempt's way through the ledger.
#[derive(Clone, Debug)]
pub struct Entry {
    own: Attempt,
    expected: Option<Attempt>,
    reads: u32,
    sent: bool,
}

impl Entry {
    /// Starts an attempt; `attempt` must be unique over all daemons and time.
    #[must_use]
    pub fn new(attempt: &str, request: &str) -> Self {
        let own = Attempt {
            attempt: attempt.to_owned(),
            request: request.to_owned(),
            outcome: Outcome::Open,
        };
        Self {
            own,
            expected: None,
            reads: 0,
            sent: false,
        }
    }

    /// The first action: claim the row.
    #[must_use]
    pub fn start(&self) -> Action {
        self.claim()
    }

    /// Takes in what the table said and decides the next action.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Written => self.send(),
            Event::Unknown => self.settle(),
            Event::Conflict(row) | Event::Row(row) => self.judge(row),
        }
    }

    /// The row that says how the attempt ended, and what the table may hold before.
    ///
    /// An attempt that was never sent leaves a mark too, so that an insert which is still on its
    /// way finds the row taken and a repeat of the key may run.
    #[must_use]
    pub fn settled(&self, outcome: Outcome) -> Attempt {
        Attempt {
            outcome,
            ..self.own.clone()
        }
    }

    /// The row as this attempt claimed it.
    #[must_use]
    pub fn own(&self) -> &Attempt {
        &self.own
    }

    fn claim(&self) -> Action {
        Action::Write {
            expected: self.expected.clone(),
            row: self.own.clone(),
        }
    }

    fn send(&mut self) -> Action {
        assert!(!self.sent, "an attempt was to be sent twice");
        self.sent = true;
        Action::Send
    }

    /// A write with an unknown end: look, for as long as that is worth it.
    fn settle(&mut self) -> Action {
        self.reads += 1;
        if self.reads > MAX_READS {
            Action::Refuse(Kind::StoreUnavailable)
        } else {
            Action::Read
        }
    }

    fn judge(&mut self, row: Option<Attempt>) -> Action {
        let Some(row) = row else {
            // The write may still be on its way; writing it once more is the same write.
            self.expected = None;
            return self.claim();
        };
        if row.attempt == self.own.attempt {
            // An attempt that recorded its end has ended and asks no more.
            assert!(row.outcome == Outcome::Open, "an ended attempt went on");
            return self.send();
        }
        if row.request != self.own.request && row.outcome != Outcome::NotRun {
            return Action::Refuse(Kind::KeyReused);
        }
        match &row.outcome {
            Outcome::Answered(reply) => Action::Replay(reply.clone()),
            Outcome::Open => Action::Refuse(Kind::KeyUnsettled),
            Outcome::NotRun => {
                self.expected = Some(row);
                self.claim()
            }
        }
    }
}
