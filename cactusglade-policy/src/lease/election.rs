//! Steps by which a daemon acquires, renews and observes a lease whose row is in a store.

use cactusglade_core::revision::Revision;
use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;

use super::Action;
use super::Lease;
use super::Timing;

/// Time spans of the lease on the duties. The term is longer than the platform's limit for
/// alternating holders, and the margin is longer than any call to the store or the provider.
pub const TIMING: Timing = Timing {
    term: Millis(4_000),
    margin: Millis(1_700),
    renewal: Millis(800),
    patience: Millis(0),
};

/// `Step` is the next step for the owner of an [`Election`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Read the row, then call [`Election::read`].
    Read,
    /// Write this row, provided that the stored one still has the revision, then call
    /// [`Election::written`].
    Write(Row, Revision),
}

/// `Outcome` is the outcome of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write has taken effect, with this revision.
    Applied(Revision),
    /// The stored row did not have the expected revision.
    Denied,
    /// The write may have taken effect, or may still do so; the next read shows whether it did.
    Unknown,
}

/// `Election` is one daemon's state of the lease and of the row that holds it.
#[derive(Debug)]
pub struct Election {
    lease: Lease,
    holder: String,
    /// Row as last read or written.
    row: Option<Row>,
    /// Revision of the row, or of its absence, as last read or written.
    revision: Revision,
    /// Whether the row must be read: the outcome of the last write is unknown, so that the row may be
    /// this daemon's, or the row was not the expected one.
    must_read: bool,
}

impl Election {
    /// Starts without the lease. `holder` must differ between restarts of a daemon.
    #[must_use]
    pub fn new(holder: &str, timing: Timing) -> Self {
        Self {
            lease: Lease::with_timing(holder, timing),
            holder: holder.to_owned(),
            row: None,
            revision: Revision::default(),
            must_read: false,
        }
    }

    /// Returns the state of the lease.
    #[must_use]
    pub const fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the row as last read or written, if it is known.
    #[must_use]
    pub const fn row(&self) -> Option<&Row> {
        self.row.as_ref()
    }

    /// Returns the lease while it is safely held, for the heartbeats to other daemons.
    #[must_use]
    pub fn held_lease(&self, now: Millis) -> Option<Row> {
        self.lease.epoch(now)?;
        self.row.clone()
    }

    /// Returns the first step of a round.
    ///
    /// `observed` is the lease in another daemon's heartbeat. A daemon that doesn't hold the lease
    /// reads the store only after a whole term without a renewal in a heartbeat.
    pub fn begin(&mut self, now: Millis, observed: Option<Row>) -> Step {
        let is_own = self
            .row
            .as_ref()
            .is_some_and(|row| row.holder == self.holder);
        if let Some(observed) = observed.filter(|_| !is_own) {
            self.lease.observe(now, Some(observed));
            return Step::Wait;
        }
        // The holder knows the row that it wrote; any other daemon has to read it.
        if is_own && self.lease.epoch(now).is_some() {
            self.observe(now)
        } else if is_own || self.must_read || self.lease.is_stale(now) {
            Step::Read
        } else {
            Step::Wait
        }
    }

    /// Records the row that was read, with its revision or that of its absence, and returns the next
    /// step.
    pub fn read(&mut self, now: Millis, row: Option<Row>, revision: Revision) -> Step {
        self.must_read = false;
        self.lease.enter_era(now, revision.era);
        self.lease.expect(revision.number);
        self.revision = revision;
        self.row = row;
        self.observe(now)
    }

    /// Records the outcome of a write that was sent at `sent`.
    pub fn written(&mut self, sent: Millis, row: Row, outcome: &Outcome) {
        if let Outcome::Applied(revision) = outcome {
            self.lease.confirm(sent, row.clone());
            self.row = Some(row);
            self.revision = *revision;
            return;
        }
        if *outcome == Outcome::Denied {
            self.lease.deny();
        }
        self.must_read = true;
        self.row = None;
    }

    fn observe(&mut self, now: Millis) -> Step {
        match self.lease.observe(now, self.row.clone()) {
            Action::Wait => Step::Wait,
            Action::Write(row) => Step::Write(row, self.revision),
        }
    }
}
