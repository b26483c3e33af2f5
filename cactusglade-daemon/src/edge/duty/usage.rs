//! Usage reports: each daemon stores its counts, the holder fixes their sums and reports them.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use cactusglade_link::clock;
use cactusglade_policy::usage::Counts;
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

/// Table of the daemons' own counts, a row a daemon.
const COUNTS: &str = "usage";
/// Table of the sums as they were fixed, in one row.
const SUMS: &str = "report";
const SUMS_KEY: &str = "sums";
/// Time after a window's end at which a daemon stores its counts, for clocks that differ a little.
const CLOSE: Millis = Millis(300);
/// Time after a window's end from which its sums may be fixed.
const SETTLE: Millis = Millis(1_500);
/// Time after a window's end until which daemons that have not stored their counts are awaited.
const AWAIT: Millis = Millis(5_000);
/// Windows behind the newest at which a daemon's row is taken for one of a daemon that is gone.
const STALE: u64 = 3;
/// Sums that are kept.
const KEPT: usize = 6;

/// `Share` is a daemon's row: what began there.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Share {
    /// Last window that has ended and is counted whole.
    through: u64,
    /// Counts by window.
    windows: BTreeMap<u64, Counts>,
}

/// `Usage` stores this daemon's counts and, as holder, reports the sums.
#[derive(Debug)]
pub struct Usage<S> {
    store: S,
    name: String,
    windows: Windows,
    late: Millis,
    /// Counts of the starts of this daemon before this one, once they are known.
    before: Option<BTreeMap<u64, Counts>>,
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
        let now = windows.window(clock::unix());
        Self {
            store,
            name: options.name.clone(),
            late: options.late,
            before: None,
            through: now.saturating_sub(1),
            reported: None,
            first: now.saturating_sub(2),
            windows,
            log: options.log.clone(),
        }
    }

    /// Stores this daemon's counts once another window has ended.
    pub async fn publish(&mut self, counts: &BTreeMap<u64, Counts>) {
        let unix = clock::unix();
        let ended = self.windows.window(unix - CLOSE).saturating_sub(1);
        if ended > self.through && self.put(counts, ended).await {
            self.through = ended;
        }
    }

    /// Stores this daemon's counts at once, also those of the window under way.
    pub async fn flush(&mut self, counts: &BTreeMap<u64, Counts>) {
        let window = self.windows.window(clock::unix());
        self.put(counts, window).await;
    }

    async fn put(&mut self, counts: &BTreeMap<u64, Counts>, through: u64) -> bool {
        let Some(before) = self.before().await else {
            return false;
        };
        let mut windows = before.clone();
        for (window, counts) in counts {
            add(windows.entry(*window).or_default(), counts);
        }
        let oldest = through.saturating_sub(STALE + 1);
        windows.retain(|window, _| *window >= oldest);
        let share = Share { through, windows };
        let Ok(value) = serde_json::to_vec(&share) else {
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

    /// What the starts of this daemon before this one had counted.
    async fn before(&mut self) -> Option<&BTreeMap<u64, Counts>> {
        if self.before.is_none() {
            let shares = self.shares().await?;
            let own = shares.into_iter().find(|(name, _)| *name == self.name);
            self.before = Some(own.map(|(_, share)| share.windows).unwrap_or_default());
        }
        self.before.as_ref()
    }

    async fn shares(&self) -> Option<Vec<(String, Share)>> {
        match self.store.rows(COUNTS).await {
            Ok(rows) => {
                let shares = rows.into_iter().filter_map(|row| {
                    let share = serde_json::from_slice(&row.value).ok()?;
                    Some((row.key, share))
                });
                Some(shares.collect())
            }
            Err(error) => {
                warn!(self.log, "usage_unread"; "reason" => %error);
                None
            }
        }
    }

    /// Reports the windows that have ended, the oldest first.
    pub async fn report(
        &mut self,
        provider: &impl Provider,
        holder: &Holder,
        holds: impl Fn() -> bool,
    ) {
        let unix = clock::unix();
        let newest = self.windows.window(unix - SETTLE).saturating_sub(1);
        let next = self.reported.map_or(self.first, |reported| reported + 1);
        let due = |window: u64| self.windows.end(window) + self.late > unix;
        let Some(window) = (next..=newest).find(|window| due(*window)) else {
            return;
        };
        let Some(counts) = self.fixed(window, unix).await else {
            return;
        };
        if !holds() {
            return;
        }
        match provider.usage(holder, window, &counts).await {
            Ok(()) => {
                self.reported = Some(window);
                info!(self.log, "usage_reported"; "window" => window, "fence" => holder.fence,
                    "organisations" => counts.len(), "requests" => counts.values().sum::<u64>());
            }
            Err(error) => {
                warn!(self.log, "usage_unreported"; "window" => window, "reason" => %error);
            }
        }
    }

    /// The sums of a window, which are fixed before they are first reported, so that every report
    /// of a window is the same whoever sends it.
    async fn fixed(&self, window: u64, unix: Millis) -> Option<Counts> {
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
        let mut sums: BTreeMap<u64, Counts> = sums.unwrap_or_default();
        if let Some(counts) = sums.get(&window) {
            return Some(counts.clone());
        }
        let counts = self.sum(window, unix).await?;
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

    /// Adds up what all daemons counted, once all have stored it or that takes too long.
    async fn sum(&self, window: u64, unix: Millis) -> Option<Counts> {
        let shares = self.shares().await?;
        let is_waiting = shares
            .iter()
            .any(|(_, share)| share.through < window && share.through + STALE > window);
        if is_waiting && unix < self.windows.end(window) + AWAIT {
            return None;
        }
        let mut sum = Counts::new();
        for (_, share) in &shares {
            if let Some(counts) = share.windows.get(&window) {
                add(&mut sum, counts);
            }
        }
        Some(sum)
    }
}

fn add(sum: &mut Counts, counts: &Counts) {
    for (organisation, count) in counts {
        *sum.entry(organisation.clone()).or_default() += count;
    }
}
