//! Usage reports: how many requests of each organisation began in each window.
//!
//! One daemon of each zone writes the zone's counts to the store. The holder of the duties sums
//! them up, writes the sums to the store, and reports them to the provider.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use cactusglade_core::catalog::Catalog;
use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_policy::affinity;
use cactusglade_policy::usage::Counts;
use cactusglade_policy::usage::Ledger;
use cactusglade_policy::usage::Settlement;
use cactusglade_policy::usage::Windows;
use cactusglade_wire::port::Holder;
use cactusglade_wire::port::Platform;
use cactusglade_wire::port::Provider;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Table;
use cactusglade_wire::port::Write;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use slog::info;
use slog::warn;

use super::Options;
use super::leased;

/// Table of the ledgers, with a row for each daemon that has written its zone's ledger.
const LEDGER_TABLE: &str = "usage";
/// Table of the final sums.
const SUM_TABLE: &str = "report";
const SUM_KEY: &str = "sums";
/// Row beside the sums that says which windows are closed.
const SETTLEMENT_KEY: &str = "settlement";
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

impl Record {
    /// Returns the windows in which daemons have counted requests, and the one that was under way for
    /// the writer.
    fn counted(&self) -> impl Iterator<Item = u64> {
        let under_way = self.through.saturating_add(1);
        self.windows.keys().copied().chain([under_way])
    }
}

/// `Closing` is the value of the row of the settlement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Closing {
    /// Era of the store in which it was written.
    era: u64,
    /// Last window that may have been reported and whose sums may be lost or were dropped.
    closed_through: u64,
}

/// `Final` is what is known of the final sums of a window.
enum Final {
    /// The sums.
    Sums(Sums),
    /// Nothing yet.
    Unknown,
    /// The sums may have been reported and are lost, so that the window is not reported again.
    Closed,
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
    /// Tenure in which this daemon has performed the duties without a break.
    tenure: u64,
    /// Final sums as this daemon has last read or written them in that tenure.
    own: BTreeMap<u64, Sums>,
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
            tenure: 0,
            own: BTreeMap::new(),
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

    /// Has the ledger written again, after the store was restored from a copy.
    pub fn republish(&mut self) {
        self.through = self.through.saturating_sub(1);
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

    /// Reports the next window that has ended; `tenure` is the epoch since which no other daemon has held
    /// the lease, and `counted` are the windows in which daemons of the zone have counted requests.
    pub async fn report(
        &mut self,
        provider: &impl Provider,
        holder: &Holder,
        tenure: u64,
        catalog: &Catalog,
        counted: &BTreeSet<u64>,
    ) {
        if tenure != self.tenure {
            self.tenure = tenure;
            self.own.clear();
        }
        let unix_now = clock::unix_time();
        let newest = self.newest(unix_now);
        let next = self
            .last_reported
            .map_or(self.first_window, |window| window + 1);
        let is_due = |window: u64| self.windows.end(window) + self.report_within > unix_now;
        let Some(window) = (next..=newest).find(|window| is_due(*window)) else {
            return;
        };
        let counts = match self.final_sums(window, unix_now, catalog, counted).await {
            Final::Sums(counts) => counts,
            Final::Unknown => return,
            Final::Closed => {
                warn!(self.log, "usage_closed"; "window" => window);
                self.last_reported = Some(window);
                return;
            }
        };
        match provider.report_usage(holder, window, &counts).await {
            Ok(()) => {
                self.last_reported = Some(window);
                info!(self.log, "usage_reported"; "window" => window,
                    "fence" => holder.fencing_token, "organisations" => counts.len(),
                    "requests" => counts.values().sum::<u64>(),
                    "lease_left_ms" => leased::left_ms(holder));
            }
            Err(error) => {
                warn!(self.log, "usage_unreported"; "window" => window, "reason" => %error);
            }
        }
    }

    /// Returns the last window whose sums may be made final at a time of day.
    fn newest(&self, unix: Millis) -> u64 {
        self.windows.window(unix - SUM_DELAY).saturating_sub(1)
    }

    /// Returns the final sums of a window.
    ///
    /// They are written to the store before the first report, so that all reports of a window are
    /// equal, whichever daemon sends them. Where they may be lost, since the store was restored from a
    /// copy or a row is malformed, it gets this daemon's own ones again.
    async fn final_sums(
        &mut self,
        window: u64,
        unix_now: Millis,
        catalog: &Catalog,
        counted: &BTreeSet<u64>,
    ) -> Final {
        let table = match self.store.rows(SUM_TABLE).await {
            Ok(table) => table,
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                return Final::Unknown;
            }
        };
        let sums: Option<BTreeMap<u64, Sums>> = decode(&table, SUM_KEY);
        let closing: Option<Closing> = decode(&table, SETTLEMENT_KEY);
        let is_malformed = sums.is_none() || closing.is_none();
        let mut sums = sums.unwrap_or_default();
        let closing = closing.unwrap_or_default();
        let mut settlement = Settlement {
            era: closing.era,
            closed_through: closing.closed_through,
        };
        let is_lost = is_malformed || settlement.precedes(table.revision.era);
        if is_lost {
            let Some(records) = self.records().await else {
                return Final::Unknown;
            };
            let stored = records.iter().flat_map(Record::counted);
            let counted = stored.chain(counted.iter().copied());
            let newest = self.newest(self.windows.latest_time(unix_now, counted));
            let last = self.own.keys().next_back().copied();
            settlement.enter_era(table.revision.era, last, newest);
            if is_malformed {
                settlement.close(last, newest);
            }
            sums.extend(self.own.clone());
        }
        let known = sums.get(&window).cloned();
        if known.is_none() && settlement.is_open(window) {
            let Some(counts) = self.sum(window, unix_now, catalog).await else {
                return Final::Unknown;
            };
            sums.insert(window, counts);
        } else if !is_lost {
            self.own = sums;
            return known.map_or(Final::Closed, Final::Sums);
        }
        settlement.retain(&mut sums, KEPT_WINDOWS);
        if !self.write_sums(&table, &sums, &settlement).await {
            return Final::Unknown;
        }
        if is_lost {
            info!(self.log, "usage_settled"; "era" => settlement.era, "malformed" => is_malformed,
                "closed_through" => settlement.closed_through, "own" => self.own.len());
        }
        self.own.clone_from(&sums);
        sums.remove(&window).map_or(Final::Closed, Final::Sums)
    }

    /// Writes the final sums, provided that they are still as read; returns whether that succeeded.
    async fn write_sums(
        &self,
        table: &Table,
        sums: &BTreeMap<u64, Sums>,
        settlement: &Settlement,
    ) -> bool {
        let closing = Closing {
            era: settlement.era,
            closed_through: settlement.closed_through,
        };
        let values = (serde_json::to_vec(sums), serde_json::to_vec(&closing));
        let (Ok(sums), Ok(settlement)) = values else {
            return false;
        };
        let write = |key: &str, value| Write {
            table: SUM_TABLE,
            key: key.to_owned(),
            expect: Some(table.revision_of(key)),
            value,
        };
        let writes = vec![write(SUM_KEY, sums), write(SETTLEMENT_KEY, settlement)];
        match self.store.commit(writes).await {
            Ok(written) => written.is_some(),
            Err(error) => {
                warn!(self.log, "usage_unfixed"; "reason" => %error);
                false
            }
        }
    }

    /// Sums up the counts of all daemons, once every zone has written its ledger or the time to
    /// wait for them is over.
    async fn sum(&self, window: u64, unix_now: Millis, catalog: &Catalog) -> Option<Sums> {
        let records = self.records().await?;
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

    /// Reads the ledgers; those that are malformed are left out.
    async fn records(&self) -> Option<Vec<Record>> {
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
        Some(records.collect())
    }
}

/// Decodes a row; one that is absent counts as empty, and one that is malformed is `None`.
fn decode<T: Default + DeserializeOwned>(table: &Table, key: &str) -> Option<T> {
    let Some(row) = table.rows.iter().find(|row| row.key == key) else {
        return Some(T::default());
    };
    serde_json::from_slice(&row.value).ok()
}
