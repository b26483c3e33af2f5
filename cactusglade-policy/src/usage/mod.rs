//! How many requests of each organisation began in each window of time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;

use crate::affinity;

/// `Counts` of requests by the number that stands for an organisation.
pub type Counts = BTreeMap<u32, u64>;

/// Windows that are kept; a report is due two windows after its end.
pub const KEPT: usize = 4;

/// `Windows` counts by window since 1970.
#[derive(Clone, Debug, Default)]
pub struct Windows {
    length: u64,
    counts: BTreeMap<u64, Counts>,
}

impl Windows {
    /// Starts with windows of this length.
    #[must_use]
    pub fn new(length: Millis) -> Self {
        Self {
            length: length.0.max(1),
            counts: BTreeMap::new(),
        }
    }

    /// The window of a Unix time.
    #[must_use]
    pub const fn window(&self, unix: Millis) -> u64 {
        unix.0 / self.length
    }

    /// Unix time at which a window has ended.
    #[must_use]
    pub const fn end(&self, window: u64) -> Millis {
        Millis((window + 1) * self.length)
    }

    /// Notes a request that began.
    pub fn begin(&mut self, unix: Millis, organisation: &str) {
        let window = self.window(unix);
        let counts = self.counts.entry(window).or_default();
        *counts.entry(affinity::number(organisation)).or_default() += 1;
        while self.counts.len() > KEPT {
            self.counts.pop_first();
        }
    }

    /// The counts of the windows that are kept.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<u64, Counts> {
        &self.counts
    }
}

/// `Ledger` holds what each daemon has told of its counts.
///
/// All daemons that hear a daemon keep its counts, so that they outlive it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, BTreeMap<String, Counts>>,
}

impl Ledger {
    /// Takes in what a start of a daemon has counted so far.
    pub fn hear(&mut self, daemon: &str, counts: &BTreeMap<u64, Counts>) {
        for (window, counts) in counts {
            let daemons = self.windows.entry(*window).or_default();
            let known = daemons.entry(daemon.to_owned()).or_default();
            for (organisation, count) in counts {
                let known = known.entry(*organisation).or_default();
                *known = (*known).max(*count);
            }
        }
        while self.windows.len() > KEPT {
            self.windows.pop_first();
        }
    }

    /// Takes in what another daemon's ledger holds.
    pub fn merge(&mut self, windows: &BTreeMap<u64, BTreeMap<String, Counts>>) {
        for (window, daemons) in windows {
            for (daemon, counts) in daemons {
                self.hear(daemon, &BTreeMap::from([(*window, counts.clone())]));
            }
        }
    }

    /// What each daemon has counted, by window.
    #[must_use]
    pub const fn windows(&self) -> &BTreeMap<u64, BTreeMap<String, Counts>> {
        &self.windows
    }

    /// The sums of a window over all daemons.
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
