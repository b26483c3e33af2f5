//! Metrics on upstreams that have not begun to answer in time.

use prometheus::IntCounter;
use prometheus::Registry;

use super::Result;

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
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        Ok(Self {
            extended: counter(
                "cactusglade_answers_awaited_total",
                "Extensions of the time for an answer because of the upstream's load",
            )?,
            explained: counter(
                "cactusglade_explained_losses_total",
                "Requests given up without an answer because of the upstream's load",
            )?,
        })
    }
}
