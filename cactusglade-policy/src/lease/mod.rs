//! A lease on a duty, held through a row in the platform's table.
//!
//! Nobody compares clocks of two hosts: a watcher takes a lease over only after it has itself seen
//! the row unchanged for a whole term, and a holder stops a margin before its term has passed
//! since it *sent* its last renewal. A holder that was frozen notices on its own monotonic clock.
//! Writes under the lease also carry its epoch as a condition. See `docs/DESIGN.md`.

use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;

/// Time after which an unchanged row may be taken over, where nothing else is asked for.
pub const TERM: Millis = Millis(6_000);

/// `Terms` are the spans of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Terms {
    /// Time after which an unchanged row may be taken over.
    pub term: Millis,
    /// Time before the end of the term at which the holder stops; what it sent before then must
    /// have arrived or failed by the end.
    pub margin: Millis,
    /// Time between two renewals.
    pub renewal: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            term: TERM,
            margin: Millis(2_000),
            renewal: Millis(1_500),
        }
    }
}

/// `Action` is what the holder of this value should do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Write this row, on the condition that the row is still as it was last seen.
    Write(Row),
}

#[derive(Debug)]
struct Seen {
    row: Option<Row>,
    since: Millis,
}

/// `Lease` is one daemon's view of the lease on one duty.
#[derive(Debug)]
pub struct Lease {
    holder: String,
    terms: Terms,
    seen: Option<Seen>,
    /// When the write that made or renewed the lease was sent.
    renewed: Option<Millis>,
}

impl Lease {
    /// Starts without the lease; `holder` must be unique for each start of a daemon.
    #[must_use]
    pub fn new(holder: &str) -> Self {
        Self::with_terms(holder, Terms::default())
    }

    /// Starts without the lease, with spans of its own.
    #[must_use]
    pub fn with_terms(holder: &str, terms: Terms) -> Self {
        Self {
            holder: holder.to_owned(),
            terms,
            seen: None,
            renewed: None,
        }
    }

    /// Takes in what the table holds now and says what to write.
    pub fn observe(&mut self, now: Millis, row: Option<Row>) -> Action {
        let changed = self.seen.as_ref().is_none_or(|seen| seen.row != row);
        if changed {
            self.seen = Some(Seen {
                row: row.clone(),
                since: now,
            });
        }
        let unchanged = self
            .seen
            .as_ref()
            .map_or(Millis(0), |seen| now - seen.since);
        match row {
            None => Action::Write(self.claim(1)),
            Some(row) if row.holder == self.holder => {
                let due = self
                    .renewed
                    .is_none_or(|sent| now - sent >= self.terms.renewal);
                let renewal = Row {
                    renewal: row.renewal + 1,
                    ..row
                };
                if due {
                    Action::Write(renewal)
                } else {
                    Action::Wait
                }
            }
            Some(row) if unchanged >= self.terms.term => Action::Write(self.claim(row.epoch + 1)),
            Some(_) => Action::Wait,
        }
    }

    /// Whether the row was last seen longer ago than a term, so that it is worth a look.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        let seen = self.seen.as_ref();
        seen.is_none_or(|seen| now - seen.since >= self.terms.term)
    }

    /// Notes that a write which was sent at `sent` is known to have taken effect.
    pub fn written(&mut self, sent: Millis, row: Row) {
        self.seen = Some(Seen {
            row: Some(row),
            since: sent,
        });
        self.renewed = Some(sent);
    }

    /// The epoch of the lease while it is safely held.
    #[must_use]
    pub fn epoch(&self, now: Millis) -> Option<u64> {
        let sent = self.renewed?;
        let row = self.seen.as_ref()?.row.as_ref()?;
        let held = row.holder == self.holder && now - sent < self.terms.term - self.terms.margin;
        held.then_some(row.epoch)
    }

    fn claim(&self, epoch: u64) -> Row {
        Row {
            holder: self.holder.clone(),
            epoch,
            renewal: 0,
        }
    }
}
