//! Usage reports: how many requests of each organisation began in each window.
//!
//! One daemon of each zone writes the zone's counts to the store. The holder of the duties sums
//! them up, writes the sums to the store, and reports them to the provider.

use std::collections::BTreeMap;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_policy::affinity;
use cactusglade_policy::usage::Counts;
use cactusglade_policy::usage::Ledger;
use cactusglade_policy::usage::Windows;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Provider;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;

use super::Options;

/// Table of the ledgers, with a row for each daemon that has written its zone's ledger.
const LEDGER_TABLE: &str = "usage";
/// Table of the final sums, which has one row.
const SUM_TABLE: &str = "report";
const SUM_KEY: &str = "sums";
/// Time after the end of a window at which its ledger is written. By then the counts of daemons
/// whose clocks differ a little have arrived.
const LEDGER_DELAY: Millis = Millis(700);
/// Time after the end of a window from which its sums may be made final.
const SUM_DELAY: Millis = Millis(2_000);
/// Time after the end of a window until which the sums wait for ledgers that are not written yet.
const LEDGER_TIMEOUT: Millis = Millis(5_000);
/// Number of windows after which a row that was not updated counts as abandoned by its daemon.
const ABANDONED_AFTER_WINDOWS: u64 = 3;
/// Number of windows whose sums are kept.
const KEPT_WINDOWS: usize = 6;

/// `Sums` are the request counts of a window by name of the organisation.
type Sums = BTreeMap<String, u64>;

/// `Record` is the value of a row in the table of ledgers.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Record {
    /// Last window whose counts are complete.
    through: u64,
    /// Counts by window and incarnation of a daemon.
    windows: BTreeMap<u64, BTreeMap<String, Counts>>,
}

/// `Usage` writes the zone's ledger and, while its daemon holds the duties, reports the sums.
#[derive(Debug)]
pub struct Usage<S> {
    store: S,
    name: String,
    windows: Windows,
    window: Millis,
    report_within: Millis,
    through: u64,
    last_reported: Option<u64>,
    /// First window that this daemon reports as holder; it may lack counts of earlier ones.
    first_window: u64,
    log: Logger,
}

impl<S: Store> Usage<S> {
    /// Starts with the window that is under way.
    pub fn new<P: Platform>(store: S, options: &Options<P>) -> Self {
        let windows = Windows::new(options.window);
        let now = windows.window(clock::unix_time());
        Self {
            store,
            name: options.name.clone(),
            window: options.window,
            report_within: options.report_within,
            through: now.saturating_sub(1),
            last_reported: None,
            first_window: now.saturating_sub(2),
            windows,
            log: options.log.clone(),
        }
    }

    /// Writes the zone's ledger to the store once another window has ended.
    ///
    /// Returns whether the write succeeded, or `None` where none was due.
    pub async fn publish(&mut self, ledger: &Ledger) -> Option<bool> {
        let unix_now = clock::unix_time();
        let ended = self
            .windows
            .window(unix_now - LEDGER_DELAY)
            .saturating_sub(1);
        if ended <= self.through {
            return None;
        }
        let is_stored = self.write_ledger(ledger, ended).await;
        if is_stored {
            self.through = ended;
        }
        Some(is_stored)
    }

    /// Writes the ledger to the store at once, including the counts of the window under way.
    pub async fn flush(&mut self, ledger: &Ledger) {
        let window = self.windows.window(clock::unix_time());
        self.write_ledger(ledger, window.saturating_sub(1)).await;
    }

    /// Writes the ledger as complete up to the window `through`; returns whether that succeeded.
    async fn write_ledger(&self, ledger: &Ledger, through: u64) -> bool {
        let record = Record {
            through,
            windows: ledger.windows().clone(),
        };
        let Ok(value) = serde_json::to_vec(&record) else {
            return false;
        };
        let write = Write {
            table: LEDGER_TABLE,
            key: self.name.clone(),
            expect: None,
            value,
        };
        match self.store.commit(vec![write]).await {
            Ok(_) => true,
            Err(error) => {
                warn!(self.log, "usage_unstored"; "through" => through, "reason" => %error);
                false
            }
        }
    }

    /// Reports the next window that has ended, while `is_held` confirms that the lease is still
    /// held.
    pub async fn report(
        &mut self,
        provider: &impl Provider,
        holder: &Holder,
        catalog: &Catalog,
        is_held: impl Fn() -> bool,
    ) {
        let unix_now = clock::unix_time();
        let newest = self.windows.window(unix_now - SUM_DELAY).saturating_sub(1);
        let next = self
            .last_reported
            .map_or(self.first_window, |window| window + 1);
        let is_due = |window: u64| self.windows.end(window) + self.report_within > unix_now;
        let Some(window) = (next..=newest).find(|window| is_due(*window)) else {
            return;
        };
        let Some(counts) = self.final_sums(window, unix_now, catalog).await else {
            return;
        };
        if !is_held() {
            return;
        }
        match provider.report_usage(holder, window, &counts).await {
            Ok(()) => {
                self.last_reported = Some(window);
                info!(self.log, "usage_reported"; "window" => window,
                    "fence" => holder.fencing_token, "organisations" => counts.len(),
                    "requests" => counts.values().sum::<u64>());
            }
            Err(error) => {
                warn!(self.log, "usage_unreported"; "window" => window, "reason" => %error);
            }
        }
    }

    /// Returns the final sums of a window.
    ///
    /// They are written to the store before the first report, so that all reports of a window are
    /// equal, whichever daemon sends them.
    async fn final_sums(&self, window: u64, unix_now: Millis, catalog: &Catalog) -> Option<Sums> {
        let table = match self.store.rows(SUM_TABLE).await {
            Ok(table) => table,
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                return None;
            }
        };
        let revision = table.revision_of(SUM_KEY);
        let row = table.rows.into_iter().find(|row| row.key == SUM_KEY);
        let sums = row.and_then(|row| serde_json::from_slice(&row.value).ok());
        let mut sums: BTreeMap<u64, Sums> = sums.unwrap_or_default();
        if let Some(counts) = sums.get(&window) {
            return Some(counts.clone());
        }
        let counts = self.sum(window, unix_now, catalog).await?;
        sums.insert(window, counts.clone());
        while sums.len() > KEPT_WINDOWS {
            sums.pop_first();
        }
        let write = Write {
            table: SUM_TABLE,
            key: SUM_KEY.to_owned(),
            expect: Some(revision),
            value: serde_json::to_vec(&sums).ok()?,
        };
        match self.store.commit(vec![write]).await {
            Ok(Some(_)) => Some(counts),
            Ok(None) => None,
            Err(error) => {
                warn!(self.log, "usage_unfixed"; "window" => window, "reason" => %error);
                None
            }
        }
    }

    /// Sums up the counts of all daemons, once every zone has written its ledger or the time to
    /// wait for them is over.
    async fn sum(&self, window: u64, unix_now: Millis, catalog: &Catalog) -> Option<Sums> {
        let table = match self.store.rows(LEDGER_TABLE).await {
            Ok(table) => table,
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                return None;
            }
        };
        let records = table
            .rows
            .iter()
            .filter_map(|row| serde_json::from_slice(&row.value).ok());
        let records = records.collect::<Vec<Record>>();
        let is_waiting = records.iter().any(|record| {
            record.through < window && record.through + ABANDONED_AFTER_WINDOWS > window
        });
        if is_waiting && unix_now < self.windows.end(window) + LEDGER_TIMEOUT {
            return None;
        }
        let mut ledger = Ledger::new(self.window, self.report_within);
        for record in &records {
            ledger.merge(&record.windows);
        }
        let sum = ledger.sum(window);
        let names = catalog.organisations.names();
        let sums = names.filter_map(|name| {
            let count = sum.get(&affinity::short_hash(name))?;
            Some((name.to_owned(), *count))
        });
        Some(sums.collect())
    }
}
