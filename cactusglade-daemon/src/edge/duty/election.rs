//! Lease on the duties, held through a row in the store.

use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_policy::lease::Action;
use cactusglade_policy::lease::Lease;
use cactusglade_policy::lease::Timing;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use slog::Logger;
use slog::info;
use slog::warn;

const TABLE: &str = "lease";
const KEY: &str = "duties";

/// Time spans of the lease. The term is longer than the platform's limit for alternating holders,
/// and the margin is longer than any call to the store or the provider.
const LEASE_TIMING: Timing = Timing {
    term: Millis(4_000),
    margin: Millis(1_700),
    renewal: Millis(800),
    patience: Millis(0),
};
/// Upper bound of a daemon's random patience. A lease that was taken is known everywhere after about
/// half a second.
const MAX_PATIENCE: Millis = Millis(2_000);

/// `Election` acquires, renews and observes the lease on the duties for one daemon.
#[derive(Debug)]
pub struct Election<S> {
    store: S,
    lease: Lease,
    holder: String,
    /// Row as last read or written.
    row: Option<Row>,
    /// Revision of the row, or of its absence, as last read or written.
    revision: Revision,
    /// Whether the row must be read: the outcome of the last write is unknown, so that the row may be
    /// this daemon's, or the row was not the expected one.
    must_read: bool,
    is_held: bool,
    log: Logger,
}

impl<S: Store> Election<S> {
    /// Starts without the lease. `holder` must differ between restarts of a daemon.
    pub fn new(store: S, holder: &str, log: Logger) -> Self {
        let timing = Timing {
            patience: Millis(rand::random_range(0..MAX_PATIENCE.0)),
            ..LEASE_TIMING
        };
        Self {
            store,
            lease: Lease::with_timing(holder, timing),
            holder: holder.to_owned(),
            row: None,
            revision: Revision::default(),
            must_read: false,
            is_held: false,
            log,
        }
    }

    /// Returns the fencing token, which is the lease's epoch, while the lease is safely held.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        self.lease.epoch(now)
    }

    /// Returns the time until which the lease is safely held, if it is.
    pub fn held_until(&self, now: Millis) -> Option<Millis> {
        self.lease.held_until(now)
    }

    /// Returns the epoch since which no other daemon has held the lease, while this one holds it.
    pub const fn tenure(&self) -> u64 {
        self.lease.tenure()
    }

    /// Returns the lease while it is safely held, for the heartbeats to other daemons.
    pub fn held_lease(&self, now: Millis) -> Option<Row> {
        self.fencing_token(now)?;
        self.row.clone()
    }

    /// Acquires or renews the lease where that is due.
    ///
    /// `observed` is the lease in another daemon's heartbeat. A daemon that doesn't hold the lease
    /// reads the store only after a whole term without a renewal in a heartbeat.
    pub async fn acquire_or_renew(&mut self, clock: Clock, observed: Option<Row>) {
        let now = clock.now();
        let is_own = self
            .row
            .as_ref()
            .is_some_and(|row| row.holder == self.holder);
        if let Some(observed) = observed.filter(|_| !is_own) {
            self.lease.observe(now, Some(observed));
            self.log_transition(now);
            return;
        }
        let is_held = is_own && self.fencing_token(now).is_some();
        let is_due = is_held || is_own || self.must_read || self.lease.is_stale(now);
        // The holder knows the row that it wrote; any other daemon has to read it.
        if !is_due || (!is_held && !self.read(clock).await) {
            self.log_transition(clock.now());
            return;
        }
        let now = clock.now();
        let row = self.row.clone();
        if let Action::Write(next) = self.lease.observe(now, row) {
            self.write(clock, next).await;
        }
        self.log_transition(clock.now());
    }

    /// Reads the row from the store; returns whether that succeeded.
    async fn read(&mut self, clock: Clock) -> bool {
        match self.store.rows(TABLE).await {
            Ok(table) => {
                self.must_read = false;
                self.lease.enter_era(clock.now(), table.revision.era);
                self.revision = table.revision_of(KEY);
                let row = table.rows.iter().find(|row| row.key == KEY);
                self.row = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                true
            }
            Err(error) => {
                warn!(self.log, "lease_unread"; "reason" => %error);
                false
            }
        }
    }

    /// Writes the row, provided that it is still as last read or written.
    async fn write(&mut self, clock: Clock, next: Row) {
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        let write = Write {
            table: TABLE,
            key: KEY.to_owned(),
            expect: Some(self.revision),
            value,
        };
        let sent_at = clock.now();
        match self.store.commit(vec![write]).await {
            Ok(Some(revision)) => {
                self.lease.confirm(sent_at, next.clone());
                self.row = Some(next);
                self.revision = revision;
            }
            Ok(None) => {
                self.lease.deny();
                self.must_read = true;
                self.row = None;
            }
            Err(error) => {
                // The write may have taken effect; the next read shows whether it did.
                warn!(self.log, "lease_unwritten"; "reason" => %error);
                self.must_read = true;
                self.row = None;
            }
        }
    }

    /// Logs when the lease has been taken or lost since the last call.
    fn log_transition(&mut self, now: Millis) {
        let fencing_token = self.fencing_token(now);
        if fencing_token.is_some() != self.is_held {
            self.is_held = fencing_token.is_some();
            let event = if self.is_held {
                "lease_taken"
            } else {
                "lease_lost"
            };
            let epoch = self.row.as_ref().map_or(0, |row| row.epoch);
            info!(self.log, "duties"; "what" => event, "fence" => epoch);
        }
    }
}
