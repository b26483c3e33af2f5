//! Decides whether a non-idempotent request with an idempotency key may be sent.
//!
//! It is sent at most once over all daemons: the row (organisation, key) is inserted before the
//! request is sent, on the condition that it is absent. An open row means that the request may have
//! run, so it is never sent again. See `docs/DESIGN.md`.

use cactusglade_core::errors::Kind;
use cactusglade_core::row::Attempt;
use cactusglade_core::row::Outcome;
use cactusglade_core::row::Reply;

/// `Event` is a result from the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The write took effect.
    Written,
    /// The write did not take effect because the table holds this row.
    Conflict(Option<Attempt>),
    /// It is unknown whether the write took effect.
    Unknown,
    /// A read returned this row.
    Row(Option<Attempt>),
}

/// `Action` is the next action of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Write the row on the condition that the table holds `expected`.
    Write {
        /// Row that the table must hold, `None` if the row must be absent.
        expected: Option<Attempt>,
        /// Row to write.
        row: Attempt,
    },
    /// Read the row.
    Read,
    /// Send the request, exactly once.
    Send,
    /// Return the stored answer.
    Replay(Reply),
    /// Refuse the request.
    Refuse(Kind),
}

/// Maximum number of reads after a write with unknown result, before the request is refused.
const MAX_READS: u32 = 3;

/// `Entry` is the state machine of one attempt.
#[derive(Clone, Debug)]
pub struct Entry {
    own: Attempt,
    expected: Option<Attempt>,
    reads: u32,
    sent: bool,
}

impl Entry {
    /// Creates the state of an attempt; `attempt` must be unique over all daemons and time.
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

    /// Returns the first action, which inserts the row.
    #[must_use]
    pub fn start(&self) -> Action {
        self.claim()
    }

    /// Processes a result from the table and returns the next action.
    pub fn step(&mut self, event: Event) -> Action {
        match event {
            Event::Written => self.send(),
            Event::Unknown => self.read_back(),
            Event::Conflict(row) | Event::Row(row) => self.decide(row),
        }
    }

    /// Returns the row that records the outcome of the attempt.
    ///
    /// An attempt that was never sent is recorded too, so that its delayed insert conflicts with
    /// the row and another attempt of the key may run.
    #[must_use]
    pub fn outcome_row(&self, outcome: Outcome) -> Attempt {
        Attempt {
            outcome,
            ..self.own.clone()
        }
    }

    /// Returns the row that this attempt inserts.
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
        assert!(!self.sent, "the attempt was already sent");
        self.sent = true;
        Action::Send
    }

    /// Reads the row after a write with unknown result, up to the maximum number of reads.
    fn read_back(&mut self) -> Action {
        self.reads += 1;
        if self.reads > MAX_READS {
            Action::Refuse(Kind::StoreUnavailable)
        } else {
            Action::Read
        }
    }

    fn decide(&mut self, row: Option<Attempt>) -> Action {
        let Some(row) = row else {
            // The write may still be in flight; repeating it has the same effect.
            self.expected = None;
            return self.claim();
        };
        if row.attempt == self.own.attempt {
            // An attempt that has recorded its outcome processes no further events.
            assert!(
                row.outcome == Outcome::Open,
                "the attempt continued after its outcome was recorded"
            );
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
