//! How many requests of each organisation began in each window of time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;

/// `Counts` of requests by organisation.
pub type Counts = BTreeMap<String, u64>;

/// Windows that are kept; a report is due two windows after its end.
const KEPT: usize = 6;

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
        if let Some(count) = counts.get_mut(organisation) {
            *count += 1;
        } else {
            counts.insert(organisation.to_owned(), 1);
        }
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
