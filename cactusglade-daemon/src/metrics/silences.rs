//! Metrics on upstreams that have not begun to answer in time.

use prometheus::IntCounter;
use prometheus::Registry;

use super::Result;
use super::counter;

/// `Silences` counts requests whose upstream's load explains that it had not begun to answer in time.
#[derive(Clone, Debug)]
pub struct Silences {
    /// Extensions of the time for an answer.
    pub extended: IntCounter,
    /// Requests that were given up and are no loss.
    pub explained: IntCounter,
}

impl Silences {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        Ok(Self {
            extended: counter(
                registry,
                "cactusglade_answers_awaited_total",
                "Extensions of the time for an answer because of the upstream's load",
            )?,
            explained: counter(
                registry,
                "cactusglade_explained_losses_total",
                "Requests given up without an answer because of the upstream's load",
            )?,
        })
    }
}
