//! Lease on the duties, held through a row in the store.

use cactusglade_core::row::Lease as Row;
use cactusglade_core::units::Millis;
use cactusglade_link::clock::Clock;
use cactusglade_policy::lease;
use cactusglade_policy::lease::Outcome;
use cactusglade_policy::lease::Step;
use cactusglade_policy::lease::Timing;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use slog::Logger;
use slog::info;
use slog::warn;

const TABLE: &str = "lease";
const KEY: &str = "duties";

/// Upper bound of a daemon's random patience. A lease that was taken is known everywhere after about
/// half a second.
const MAX_PATIENCE: Millis = Millis(2_000);

/// `Election` acquires, renews and observes the lease on the duties for one daemon.
#[derive(Debug)]
pub struct Election<S> {
    store: S,
    state: lease::Election,
    is_held: bool,
    log: Logger,
}

impl<S: Store> Election<S> {
    /// Starts without the lease. `holder` must differ between restarts of a daemon.
    pub fn new(store: S, holder: &str, log: Logger) -> Self {
        let timing = Timing {
            patience: Millis(rand::random_range(0..MAX_PATIENCE.0)),
            ..lease::TIMING
        };
        Self {
            store,
            state: lease::Election::new(holder, timing),
            is_held: false,
            log,
        }
    }

    /// Returns the fencing token, which is the lease's epoch, while the lease is safely held.
    pub fn fencing_token(&self, now: Millis) -> Option<u64> {
        self.state.lease().epoch(now)
    }

    /// Returns the time until which the lease is safely held, if it is.
    pub fn held_until(&self, now: Millis) -> Option<Millis> {
        self.state.lease().held_until(now)
    }

    /// Returns the epoch since which no other daemon has held the lease, while this one holds it.
    pub const fn tenure(&self) -> u64 {
        self.state.lease().tenure()
    }

    /// Returns the lease while it is safely held, for the heartbeats to other daemons.
    pub fn held_lease(&self, now: Millis) -> Option<Row> {
        self.state.held_lease(now)
    }

    /// Acquires or renews the lease where that is due; `heard` is the lease in another daemon's
    /// heartbeat.
    pub async fn acquire_or_renew(&mut self, clock: Clock, heard: Option<Row>) {
        let mut step = self.state.begin(clock.now(), heard);
        if step == Step::Read {
            step = self.read(clock).await;
        }
        if let Step::Write(row, revision) = step {
            self.write(clock, row, revision).await;
        }
    }

    /// Reads the row from the store and returns the next step.
    async fn read(&mut self, clock: Clock) -> Step {
        match self.store.rows(TABLE).await {
            Ok(table) => {
                let row = table.rows.iter().find(|row| row.key == KEY);
                let row = row.and_then(|row| serde_json::from_slice(&row.value).ok());
                self.state.read(clock.now(), row, table.revision_of(KEY))
            }
            Err(error) => {
                warn!(self.log, "lease_unread"; "reason" => %error);
                Step::Wait
            }
        }
    }

    /// Writes the row, provided that the stored one has the revision.
    async fn write(&mut self, clock: Clock, row: Row, revision: Revision) {
        let Ok(value) = serde_json::to_vec(&row) else {
            return;
        };
        let write = Write {
            table: TABLE,
            key: KEY.to_owned(),
            expect: Some(revision),
            value,
        };
        let sent_at = clock.now();
        let outcome = match self.store.commit(vec![write]).await {
            Ok(Some(revision)) => Outcome::Applied(revision),
            Ok(None) => Outcome::Denied,
            Err(error) => {
                warn!(self.log, "lease_unwritten"; "reason" => %error);
                Outcome::Unknown
            }
        };
        self.state.written(sent_at, row, &outcome);
    }

    /// Logs when the lease has been taken or lost since the last call, with the time for which the
    /// capacity plans have observed.
    pub fn log_transition(&mut self, now: Millis, observed: Millis) {
        let fencing_token = self.fencing_token(now);
        if fencing_token.is_some() != self.is_held {
            self.is_held = fencing_token.is_some();
            let event = if self.is_held {
                "lease_taken"
            } else {
                "lease_lost"
            };
            let epoch = self.state.row().map_or(0, |row| row.epoch);
            info!(self.log, "duties"; "what" => event, "fence" => epoch,
                "observed_ms" => observed.0);
        }
    }
}
