//! Counts the started requests of each organisation per time window.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;

use crate::affinity;

/// `Counts` maps the hash of an organisation's name to a number of requests.
pub type Counts = BTreeMap<u32, u64>;

/// Maximum number of windows that a daemon reports of its own; its neighbours record them at once.
pub const MAX_WINDOWS: usize = 4;
/// Windows that a ledger keeps beyond those whose reports may still be due: the one under way, and
/// one for clocks that differ.
const FURTHER_WINDOWS: u64 = 2;
/// Maximum number of zones whose newest windows are known, since any process may send datagrams.
const MAX_ZONES: usize = 256;
/// Difference of two daemons' times of day up to which both are trusted.
pub const MAX_CLOCK_DIFFERENCE: Millis = Millis(60_000);

/// `Windows` counts requests per window, numbered from the Unix epoch.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    length: u64,
    counts: BTreeMap<u64, Counts>,
}

impl Windows {
    /// Creates windows of the given length.
    #[must_use]
    pub fn new(length: Millis) -> Self {
        Self {
            length: length.0.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// Returns the number of the window that contains a Unix time.
    #[must_use]
    pub const fn window(&self, unix: Millis) -> u64 {
        unix.0 / self.length
    }

    /// Returns the Unix time at which a window ends.
    #[must_use]
    pub const fn end(&self, window: u64) -> Millis {
        Millis((window + 1) * self.length)
    }

    /// Returns the latest time of day that any daemon is known to have reached, for a daemon whose own
    /// is `unix_now`.
    ///
    /// `counted` are windows in which some daemon has counted; its time of day may have reached their
    /// ends. Windows beyond [`MAX_CLOCK_DIFFERENCE`] are ignored, since otherwise a single wrong row
    /// would close all windows for good.
    #[must_use]
    pub fn latest_time(&self, unix_now: Millis, counted: impl IntoIterator<Item = u64>) -> Millis {
        let bound = self.window(unix_now + MAX_CLOCK_DIFFERENCE);
        let newest = counted.into_iter().filter(|window| *window <= bound).max();
        newest.map_or(unix_now, |window| {
            unix_now.max(self.end(window) - Millis(1))
        })
    }

    /// Counts a request that started.
    pub fn record_request(&mut self, unix: Millis, organisation: &str) {
        let window = self.window(unix);
        let counts = self.counts.entry(window).or_default();
        *counts
            .entry(affinity::short_hash(organisation))
            .or_default() += 1;
        while self.counts.len() > MAX_WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Returns the counts by window.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<u64, Counts> {
        &self.counts
    }
}

/// `Ledger` holds the counts that each daemon has reported.
///
/// Every daemon keeps the counts of the daemons that it reaches, so that they survive a failure.
#[derive(Clone, Debug)]
pub struct Ledger {
    windows: BTreeMap<u64, BTreeMap<String, Counts>>,
    /// Maximum number of windows.
    capacity: usize,
}

impl Ledger {
    /// Creates a ledger that keeps windows of length `window` until their reports are due,
    /// `report_within` after their end; the daemon that reports them may change until then.
    #[must_use]
    pub fn new(window: Millis, report_within: Millis) -> Self {
        let due = report_within.0.div_ceil(window.0.max(1));
        Self {
            windows: BTreeMap::new(),
            capacity: usize::try_from(due + FURTHER_WINDOWS).unwrap_or(usize::MAX),
        }
    }

    /// Records the counts of one incarnation of a daemon.
    pub fn record(&mut self, daemon: &str, counts: &BTreeMap<u64, Counts>) {
        for (window, counts) in counts {
            let daemons = self.windows.entry(*window).or_default();
            let known = daemons.entry(daemon.to_owned()).or_default();
            for (organisation, count) in counts {
                let known = known.entry(*organisation).or_default();
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > self.capacity {
            self.windows.pop_first();
        }
    }

    /// Merges the ledger of another daemon.
    pub fn merge(&mut self, windows: &BTreeMap<u64, BTreeMap<String, Counts>>) {
        for (window, daemons) in windows {
            for (daemon, counts) in daemons {
                self.record(daemon, &BTreeMap::from([(*window, counts.clone())]));
            }
        }
    }

    /// Returns the counts of each daemon, by window.
    #[must_use]
    pub const fn windows(&self) -> &BTreeMap<u64, BTreeMap<String, Counts>> {
        &self.windows
    }

    /// Returns the counts of a window, summed over all daemons.
    #[must_use]
    pub fn sum(&self, window: u64) -> Counts {
        let mut sum = Counts::new();
        let daemons = self.windows.get(&window).into_iter().flatten();
        for (organisation, count) in daemons.flat_map(|(_, counts)| counts) {
            *sum.entry(*organisation).or_default() += count;
        }
        sum
    }
}

/// `Frontier` is the newest window in which each other zone has counted requests.
///
/// A daemon that starts while its time of day is behind learns from it what an earlier holder, whose
/// time of day was ahead, may have reported. Each zone's last statement counts, so that a wrong one
/// ends with the zone's next.
#[derive(Clone, Debug, Default)]
pub struct Frontier {
    zones: BTreeMap<String, u64>,
}

impl Frontier {
    /// Records the newest window of a zone.
    pub fn record(&mut self, zone: &str, window: u64) {
        if self.zones.len() < MAX_ZONES || self.zones.contains_key(zone) {
            self.zones.insert(zone.to_owned(), window);
        }
    }

    /// Iterates over the zones with their newest windows.
    pub fn zones(&self) -> impl Iterator<Item = (&str, u64)> {
        let zones = self.zones.iter();
        zones.map(|(zone, window)| (zone.as_str(), *window))
    }
}

/// `Settlement` says which windows can't be summed up any more.
///
/// The sums of a window are written to the store before they are reported. A store that is restored
/// from a copy may have lost them, or their row may be malformed, and sums that were formed anew could
/// differ from those that were reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Settlement {
    /// Era of the store in which this was written.
    pub era: u64,
    /// Last window that may have been reported and whose sums may be lost or were dropped; if they are
    /// not known, it is not reported again.
    pub closed_through: u64,
}

impl Settlement {
    /// Returns whether this was written in an earlier era of the store than `era`.
    #[must_use]
    pub const fn precedes(&self, era: u64) -> bool {
        self.era < era
    }

    /// Closes windows where the store answers in a later era; returns whether it does.
    ///
    /// `own` is the last window that this daemon has summed up if it has performed the duties without
    /// a break, so that no other daemon has reported a later one. `newest` is the last window that
    /// any daemon may have reported, by the [latest time](Windows::latest_time) of day.
    pub fn enter_era(&mut self, era: u64, own: Option<u64>, newest: u64) -> bool {
        if !self.precedes(era) {
            return false;
        }
        self.era = era;
        self.close(own, newest);
        true
    }

    /// Closes all windows that may have been reported, where their sums are lost; `own` and `newest` are
    /// those of [`Settlement::enter_era`].
    pub fn close(&mut self, own: Option<u64>, newest: u64) {
        self.closed_through = self.closed_through.max(own.unwrap_or(newest));
    }

    /// Drops the oldest sums beyond `capacity`, and closes their windows: they may still be due for a
    /// daemon that has not reported them, or whose time of day is behind.
    pub fn retain<T>(&mut self, sums: &mut BTreeMap<u64, T>, capacity: usize) {
        while sums.len() > capacity {
            if let Some((dropped, _)) = sums.pop_first() {
                self.close(Some(dropped), dropped);
            }
        }
    }

    /// Returns whether a window without sums may still be summed up.
    #[must_use]
    pub const fn is_open(&self, window: u64) -> bool {
        window > self.closed_through
    }
}
