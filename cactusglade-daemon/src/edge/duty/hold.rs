//! The lease on the duties, through a row in the store.

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

/// Spans of the lease: the term is longer than the platform's bound on holders that alternate, and
/// the margin than any call to the store or the provider.
const TERMS: Timing = Timing {
    term: Millis(4_000),
    margin: Millis(1_700),
    renewal: Millis(800),
};

/// `Hold` is one daemon's view of the lease.
#[derive(Debug)]
pub struct Hold<S> {
    store: S,
    lease: Lease,
    holder: String,
    /// The row as last seen, with its revision.
    row: Option<(Row, Revision)>,
    is_held: bool,
    log: Logger,
}

impl<S: Store> Hold<S> {
    /// Starts without the lease; `holder` is unique for each start of a daemon.
    pub fn new(store: S, holder: &str, log: Logger) -> Self {
        Self {
            store,
            lease: Lease::with_timing(holder, TERMS),
            holder: holder.to_owned(),
            row: None,
            is_held: false,
            log,
        }
    }

    /// The number that fences off holders before this one, while the lease is safely held.
    pub fn fence(&self, now: Millis) -> Option<u64> {
        self.lease.epoch(now)
    }

    /// The lease while it is safely held, to tell others.
    pub fn held(&self, now: Millis) -> Option<Row> {
        self.fence(now)?;
        self.row.as_ref().map(|(row, _)| row.clone())
    }

    /// Takes or renews the lease where that is due.
    ///
    /// `heard` is the lease as another daemon tells of it. A watcher asks the store only once it
    /// has heard no renewal for a term.
    pub async fn keep(&mut self, clock: Clock, heard: Option<Row>) {
        let now = clock.now();
        let is_own = self
            .row
            .as_ref()
            .is_some_and(|(row, _)| row.holder == self.holder);
        if let Some(heard) = heard.filter(|_| !is_own) {
            self.lease.observe(now, Some(heard));
            self.note(now);
            return;
        }
        let is_held = is_own && self.fence(now).is_some();
        let is_due = is_held || is_own || self.lease.is_stale(now);
        // A holder knows the row that it wrote; a watcher has to look.
        if !is_due || (!is_held && !self.read().await) {
            self.note(clock.now());
            return;
        }
        let now = clock.now();
        let row = self.row.as_ref().map(|(row, _)| row.clone());
        if let Action::Write(next) = self.lease.observe(now, row) {
            self.write(clock, next).await;
        }
        self.note(clock.now());
    }

    async fn read(&mut self) -> bool {
        match self.store.rows(TABLE).await {
            Ok(rows) => {
                let row = rows.into_iter().find(|row| row.key == KEY);
                self.row = row.and_then(|row| {
                    let lease = serde_json::from_slice(&row.value).ok()?;
                    Some((lease, row.revision))
                });
                true
            }
            Err(error) => {
                warn!(self.log, "lease_unread"; "reason" => %error);
                false
            }
        }
    }

    async fn write(&mut self, clock: Clock, next: Row) {
        let revision = self
            .row
            .as_ref()
            .map_or(Revision(0), |(_, revision)| *revision);
        let Ok(value) = serde_json::to_vec(&next) else {
            return;
        };
        let write = Write {
            table: TABLE,
            key: KEY.to_owned(),
            expect: Some(revision),
            value,
        };
        let sent = clock.now();
        match self.store.commit(vec![write]).await {
            Ok(Some(revision)) => {
                self.lease.confirm(sent, next.clone());
                self.row = Some((next, revision));
            }
            Ok(None) => self.row = None,
            Err(error) => {
                // It may have been written; the next look tells.
                warn!(self.log, "lease_unwritten"; "reason" => %error);
                self.row = None;
            }
        }
    }

    fn note(&mut self, now: Millis) {
        let fence = self.fence(now);
        if fence.is_some() != self.is_held {
            self.is_held = fence.is_some();
            let event = if self.is_held {
                "lease_taken"
            } else {
                "lease_lost"
            };
            let epoch = self.row.as_ref().map_or(0, |(row, _)| row.epoch);
            info!(self.log, "duties"; "what" => event, "fence" => epoch);
        }
    }
}
