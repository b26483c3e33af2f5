//! Usage reports: a daemon of each zone stores its counts, the holder fixes the sums and reports.

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
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Store;
use cactusglade_wire::port::Write;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use slog::warn;

use super::Options;

/// Table of the ledgers, a row for each daemon that has spoken for a zone.
const COUNTS: &str = "usage";
/// Table of the sums as they were fixed, in one row.
const SUMS: &str = "report";
const SUMS_KEY: &str = "sums";
/// Time after a window's end at which a ledger is stored: the counts of clocks that differ a
/// little have come by then.
const CLOSE: Millis = Millis(700);
/// Time after a window's end from which its sums may be fixed.
const SETTLE: Millis = Millis(2_000);
/// Time after a window's end until which ledgers that were not stored yet are awaited.
const AWAIT: Millis = Millis(5_000);
/// Windows behind the newest at which a row is taken for one of a daemon that speaks no longer.
const STALE: u64 = 3;
/// Sums that are kept.
const KEPT: usize = 6;

/// `Sums` are the counts of a window by the organisations' names.
type Sums = BTreeMap<String, u64>;

/// `Page` is a row of the ledgers' table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Page {
    /// Last window that has ended and is counted whole.
    through: u64,
    /// Counts by window and daemon.
    windows: BTreeMap<u64, BTreeMap<String, Counts>>,
}

/// `Usage` stores the zone's ledger and, as holder, reports the sums.
#[derive(Debug)]
pub struct Usage<S> {
    store: S,
    name: String,
    windows: Windows,
    late: Millis,
    through: u64,
    reported: Option<u64>,
    /// First window that this daemon can vouch for as holder.
    first: u64,
    log: Logger,
}

impl<S: Store> Usage<S> {
    /// Starts with nothing stored.
    pub fn new<P: Platform>(store: S, options: &Options<P>) -> Self {
        let windows = Windows::new(options.window);
        let now = windows.window(clock::unix_time());
        Self {
            store,
            name: options.name.clone(),
            late: options.late,
            through: now.saturating_sub(1),
            reported: None,
            first: now.saturating_sub(2),
            windows,
            log: options.log.clone(),
        }
    }

    /// Stores the zone's ledger once another window has ended, and says whether that went well.
    pub async fn publish(&mut self, ledger: &Ledger) -> Option<bool> {
        let unix = clock::unix_time();
        let ended = self.windows.window(unix - CLOSE).saturating_sub(1);
        if ended <= self.through {
            return None;
        }
        let is_stored = self.put(ledger, ended).await;
        if is_stored {
            self.through = ended;
        }
        Some(is_stored)
    }

    /// Stores the ledger at once, also with the window under way.
    pub async fn flush(&mut self, ledger: &Ledger) {
        let window = self.windows.window(clock::unix_time());
        self.put(ledger, window.saturating_sub(1)).await;
    }

    async fn put(&self, ledger: &Ledger, through: u64) -> bool {
        let page = Page {
            through,
            windows: ledger.windows().clone(),
        };
        let Ok(value) = serde_json::to_vec(&page) else {
            return false;
        };
        let write = Write {
            table: COUNTS,
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

    /// Reports the next window that has ended.
    pub async fn report(
        &mut self,
        provider: &impl Provider,
        holder: &Holder,
        catalog: &Catalog,
        holds: impl Fn() -> bool,
    ) {
        let unix = clock::unix_time();
        let newest = self.windows.window(unix - SETTLE).saturating_sub(1);
        let next = self.reported.map_or(self.first, |reported| reported + 1);
        let due = |window: u64| self.windows.end(window) + self.late > unix;
        let Some(window) = (next..=newest).find(|window| due(*window)) else {
            return;
        };
        let Some(counts) = self.fixed(window, unix, catalog).await else {
            return;
        };
        if !holds() {
            return;
        }
        match provider.report_usage(holder, window, &counts).await {
            Ok(()) => {
                self.reported = Some(window);
                info!(self.log, "usage_reported"; "window" => window, "fence" => holder.fencing_token,
                    "organisations" => counts.len(), "requests" => counts.values().sum::<u64>());
            }
            Err(error) => {
                warn!(self.log, "usage_unreported"; "window" => window, "reason" => %error);
            }
        }
    }

    /// The sums of a window, which are fixed before they are first reported, so that every report
    /// of a window is the same whoever sends it.
    async fn fixed(&self, window: u64, unix: Millis, catalog: &Catalog) -> Option<Sums> {
        let rows = match self.store.rows(SUMS).await {
            Ok(rows) => rows,
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                return None;
            }
        };
        let row = rows.into_iter().find(|row| row.key == SUMS_KEY);
        let revision = row.as_ref().map_or(Revision(0), |row| row.revision);
        let sums = row.and_then(|row| serde_json::from_slice(&row.value).ok());
        let mut sums: BTreeMap<u64, Sums> = sums.unwrap_or_default();
        if let Some(counts) = sums.get(&window) {
            return Some(counts.clone());
        }
        let counts = self.sum(window, unix, catalog).await?;
        sums.insert(window, counts.clone());
        while sums.len() > KEPT {
            sums.pop_first();
        }
        let write = Write {
            table: SUMS,
            key: SUMS_KEY.to_owned(),
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

    /// Adds up what all daemons counted, once all zones have stored it or that takes too long.
    async fn sum(&self, window: u64, unix: Millis, catalog: &Catalog) -> Option<Sums> {
        let rows = match self.store.rows(COUNTS).await {
            Ok(rows) => rows,
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                return None;
            }
        };
        let pages = rows
            .iter()
            .filter_map(|row| serde_json::from_slice(&row.value).ok());
        let pages = pages.collect::<Vec<Page>>();
        let is_waiting = pages
            .iter()
            .any(|page| page.through < window && page.through + STALE > window);
        if is_waiting && unix < self.windows.end(window) + AWAIT {
            return None;
        }
        let mut ledger = Ledger::default();
        for page in &pages {
            ledger.merge(&page.windows);
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
