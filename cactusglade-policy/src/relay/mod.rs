//! Decides what the relay of a zone announces and forwards of the registry.
//!
//! The store has one revision for all of its tables, so the revision up to which a daemon has read
//! the registry advances although no upstream changed. A relay that announced that revision would
//! make each daemon of its zone look for changes that do not exist.
//!
//! [`fanout`] decides by which ways the datagrams go in a large zone.

pub mod fanout;

use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;

/// `Reading` is one read of the registry from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reading {
    /// Revision after which the changes were read; `None` if all entries were read.
    pub after: Option<Revision>,
    /// Revision up to which they were read.
    pub revision: Revision,
    /// Whether the read returned changes.
    pub has_changes: bool,
}

/// `Progress` is how far one daemon has read the registry from the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Revision from which on no change is known.
    unchanged_since: Revision,
    /// Revision up to which the last read reached.
    read_to: Revision,
    read_at: Option<Millis>,
}

impl Progress {
    /// Records a read; returns the revision to which the changes that it returned apply.
    ///
    /// That is the revision of the last change before them, so that they also apply at a daemon
    /// that was not told of the revisions between.
    pub fn record(&mut self, now: Millis, reading: &Reading) -> Revision {
        let base = match reading.after {
            // The previous read ended where this one begins.
            Some(after) if after == self.read_to => self.unchanged_since,
            // This daemon's state up to `after` has come from another one.
            Some(after) => after,
            None => reading.revision,
        };
        self.unchanged_since = if reading.has_changes {
            reading.revision
        } else {
            base
        };
        self.read_to = reading.revision;
        self.read_at = Some(now);
        base
    }

    /// Returns the revision that other daemons need in order to know all changes that this one
    /// knows.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.unchanged_since
    }

    /// Returns the time since the last read.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read_at.map(|read_at| now - read_at)
    }
}
