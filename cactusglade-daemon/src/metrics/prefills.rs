//! Metrics on long prompts that daemons tell each other of.

use prometheus::IntCounter;
use prometheus::Registry;

use super::Result;
use super::counter;

/// `Prefills` counts the long prompts that daemons tell each other of.
#[derive(Clone, Debug)]
pub struct Prefills {
    /// Those that this daemon has sent to upstreams and told of.
    pub told: IntCounter,
    /// Those that other daemons have told of.
    pub heard: IntCounter,
}

impl Prefills {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        Ok(Self {
            told: counter(
                registry,
                "cactusglade_prefills_told_total",
                "Long prompts that other daemons were told of",
            )?,
            heard: counter(
                registry,
                "cactusglade_prefills_heard_total",
                "Long prompts that other daemons have told of",
            )?,
        })
    }
}
