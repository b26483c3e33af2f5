//! Metrics on the capacity plans.

use cactusglade_policy::capacity::Cause;
use prometheus::Gauge;
use prometheus::IntCounterVec;
use prometheus::Opts;
use prometheus::Registry;

use super::Result;

/// `Plans` holds the metrics on the capacity plans.
#[derive(Clone, Debug)]
pub struct Plans {
    /// Seconds for which the plans have observed, by the one that has done so for the shortest time.
    pub observed: Gauge,
    /// Times at which this daemon discarded what it had observed, by cause.
    pub breaks: IntCounterVec,
}

impl Plans {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        let observed = Gauge::new(
            "cactusglade_capacity_observed_seconds",
            "Seconds for which the capacity plans have observed",
        )?;
        registry.register(Box::new(observed.clone()))?;
        let breaks = Opts::new(
            "cactusglade_capacity_unobserved_total",
            "Times at which what the capacity plans had observed was discarded",
        );
        let breaks = IntCounterVec::new(breaks, &["cause"])?;
        registry.register(Box::new(breaks.clone()))?;
        for cause in Cause::ALL {
            breaks.with_label_values(&[cause.name()]);
        }
        Ok(Self { observed, breaks })
    }
}
