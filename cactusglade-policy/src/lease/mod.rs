//! A lease on a duty, held through a row in the platform's table.
//!
//! Clocks of two hosts are never compared: a watcher takes a lease over only after it has itself
//! observed the row unchanged for a whole term, and a holder stops a margin before a term has
//! passed since it *sent* its last renewal. A holder whose process was suspended detects this on
//! its own monotonic clock. Writes under the lease are also conditional on its epoch, which serves
//! as the fencing token. See `docs/DESIGN.md`.
//!
//! A table that is restored from a copy has an earlier row, or none, and its store states the next
//! era. The epochs of an era are greater than those of all eras before, and a row from before is
//! taken over only by the daemon that still holds the lease, or after a whole term.

mod election;

use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;

pub use election::Election;
pub use election::Outcome;
pub use election::Step;
pub use election::TIMING;

/// Default of [`Timing::term`].
pub const TERM: Millis = Millis(6_000);
/// Number of epochs in an era, far more than there are changes of the holder. Tokens stay below the
/// greatest integer that a floating-point number holds exactly, for eras up to 2^33.
const EPOCHS_PER_ERA: u64 = 1 << 20;

/// `Timing` holds the durations of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time after which an unchanged row may be taken over.
    pub term: Millis,
    /// Time before the end of the term at which the holder stops; writes that it sent before must
    /// have taken effect or failed by the end of the term.
    pub margin: Millis,
    /// Time between two renewals.
    pub renewal: Millis,
    /// Time beyond the term for which this daemon leaves an unchanged row to others. It differs
    /// between daemons, so that not all of a large fleet read and write the row at once.
    pub patience: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: TERM,
            margin: Millis(2_000),
            renewal: Millis(1_500),
            patience: Millis(0),
        }
    }
}

/// `Action` is the next action for the owner of a [`Lease`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Do nothing.
    Wait,
    /// Write this row, on the condition that the stored row is still the last one observed.
    Write(Row),
}

#[derive(Debug)]
struct Observed {
    row: Option<Row>,
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Renewal {
    /// When the write was sent.
    sent: Millis,
    epoch: u64,
}

/// `Lease` is one daemon's state of the lease on one duty.
#[derive(Debug)]
pub struct Lease {
    holder: String,
    timing: Timing,
    observed: Option<Observed>,
    /// Last successful write of the lease.
    renewed: Option<Renewal>,
    /// Whether a write was denied since the row was last observed.
    is_denied: bool,
    /// When the state was first asked for.
    started: Option<Millis>,
    /// Era of the store; zero where it states none, which is never restored.
    era: u64,
    /// Greatest epoch that this daemon has seen.
    greatest: u64,
    /// Number of epochs of the era that may have been given out, by the revision of the row.
    given: u64,
    /// First epoch of this daemon's tenure.
    tenure: u64,
    /// Time at which all writes under an earlier epoch of this daemon have taken effect or failed.
    quiet_from: Millis,
}

impl Lease {
    /// Creates the state of a daemon without the lease, with the default durations.
    ///
    /// `holder` must be unique for each start of a daemon.
    #[must_use]
    pub fn new(holder: &str) -> Self {
        Self::with_timing(holder, Timing::default())
    }

    /// Creates the state of a daemon without the lease, with the given durations.
    #[must_use]
    pub fn with_timing(holder: &str, timing: Timing) -> Self {
        Self {
            holder: holder.to_owned(),
            timing,
            observed: None,
            renewed: None,
            is_denied: false,
            started: None,
            era: 0,
            greatest: 0,
            given: 0,
            tenure: 0,
            quiet_from: Millis(0),
        }
    }

    /// Records the era in which the store answers; a row counts as unchanged from its beginning on.
    pub fn enter_era(&mut self, now: Millis, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        if let Some(observed) = &mut self.observed {
            observed.since = now;
        }
    }

    /// Records the number of the revision on which the next write is conditional. The epochs of an era
    /// up to it may have been given out: a write that was delayed across a restoration can replace
    /// the row that has the greatest.
    pub fn expect(&mut self, number: u64) {
        self.given = number.min(EPOCHS_PER_ERA / 2);
    }

    /// Records the row that the table holds now and returns the next action.
    pub fn observe(&mut self, now: Millis, row: Option<Row>) -> Action {
        self.is_denied = false;
        // Nobody can have taken the lease over yet, although this daemon no longer acts under it.
        let is_last_holder = self.renewed_within(now, self.timing.term).is_some();
        let changed = self
            .observed
            .as_ref()
            .is_none_or(|observed| observed.row != row);
        if changed {
            self.observed = Some(Observed {
                row: row.clone(),
                since: now,
            });
        }
        let unchanged = self
            .observed
            .as_ref()
            .map_or(Millis(0), |observed| now - observed.since);
        let epoch = row.as_ref().map_or(0, |row| row.epoch);
        self.greatest = self.greatest.max(epoch);
        let is_expired = unchanged >= self.timing.term;
        let is_copy = epoch <= self.epochs_before();
        let is_own = row.as_ref().is_some_and(|row| row.holder == self.holder);
        match row {
            None if self.era == 0 => Action::Write(self.take_over()),
            Some(row) if is_own && !is_copy => {
                let is_due = self
                    .renewed
                    .is_none_or(|last| now - last.sent >= self.timing.renewal);
                let renewal = Row {
                    renewal: row.renewal + 1,
                    ..row
                };
                if is_due {
                    Action::Write(renewal)
                } else {
                    Action::Wait
                }
            }
            _ if is_last_holder && is_copy => Action::Write(self.claim()),
            _ if is_expired => Action::Write(self.take_over()),
            _ => Action::Wait,
        }
    }

    /// Returns whether this daemon should read the row: it has been unchanged for a term and this
    /// daemon's patience, or no row is known for as long as the patience.
    pub fn is_stale(&mut self, now: Millis) -> bool {
        let started = *self.started.get_or_insert(now);
        let patience = self.timing.patience;
        match &self.observed {
            None => now - started >= patience,
            Some(observed) => now - observed.since >= self.timing.term + patience,
        }
    }

    /// Records that a write which was sent at `sent` has taken effect.
    pub fn confirm(&mut self, sent: Millis, row: Row) {
        self.greatest = self.greatest.max(row.epoch);
        let span = self.timing.term - self.timing.margin;
        let lapsed = self.renewed.filter(|last| sent - last.sent >= span);
        // Writes that the lapse cut off may still take effect until the end of the term.
        if let Some(last) = lapsed.filter(|last| last.epoch < row.epoch) {
            self.quiet_from = last.sent + self.timing.term;
        }
        self.renewed = Some(Renewal {
            sent,
            epoch: row.epoch,
        });
        self.observed = Some(Observed {
            row: Some(row),
            since: sent,
        });
    }

    /// Records that a write did not take effect, since the table holds another row than the last one
    /// observed: this daemon may have been replaced, and holds the lease no longer until the next
    /// observation shows that it has not.
    pub const fn deny(&mut self) {
        self.is_denied = true;
    }

    /// Returns the time until which this daemon safely holds the lease, if it does.
    #[must_use]
    pub fn held_until(&self, now: Millis) -> Option<Millis> {
        let span = self.timing.term - self.timing.margin;
        let renewal = self.renewed_within(now, span);
        let renewal = renewal.filter(|_| !self.is_denied && now >= self.quiet_from);
        renewal.map(|renewal| renewal.sent + span)
    }

    /// Returns the epoch of the lease while this daemon safely holds it.
    #[must_use]
    pub fn epoch(&self, now: Millis) -> Option<u64> {
        self.held_until(now)?;
        self.renewed.map(|renewal| renewal.epoch)
    }

    /// Returns the first epoch since which no other daemon has held the lease; it stays the same where
    /// this daemon goes on after a restoration of the store.
    #[must_use]
    pub const fn tenure(&self) -> u64 {
        self.tenure
    }

    /// Returns the last renewal if it was sent within `span`, and the observed row is this daemon's.
    ///
    /// The row need not be the renewed one: a copy may have an earlier one of this daemon.
    fn renewed_within(&self, now: Millis, span: Millis) -> Option<Renewal> {
        let row = self.observed.as_ref()?.row.as_ref()?;
        let renewal = self.renewed.filter(|_| row.holder == self.holder);
        renewal.filter(|renewal| now - renewal.sent < span)
    }

    /// Returns the greatest epoch that may have been given out before the store's era.
    const fn epochs_before(&self) -> u64 {
        self.era.saturating_mul(EPOCHS_PER_ERA)
    }

    /// Begins another tenure.
    fn take_over(&mut self) -> Row {
        let row = self.claim();
        self.tenure = row.epoch;
        row
    }

    fn claim(&self) -> Row {
        // A store without eras is never restored.
        let given = if self.era > 0 { self.given } else { 0 };
        Row {
            holder: self.holder.clone(),
            epoch: self.greatest.max(self.epochs_before() + given) + 1,
            renewal: 0,
        }
    }
}
