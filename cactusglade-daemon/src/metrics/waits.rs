//! Metrics on requests that wait for room at an upstream.

use prometheus::Histogram;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use super::Result;
use super::histogram;

/// `Waits` holds the metrics on requests that wait for room at an upstream.
#[derive(Clone, Debug)]
pub struct Waits {
    /// Requests that wait now, by service.
    pub count: IntGaugeVec,
    /// Seconds that requests had waited when they were sent.
    pub time: Histogram,
    /// Requests sent after a wait, by service and whether the upstream had room.
    pub sent: IntCounterVec,
}

impl Waits {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        let count = Opts::new(
            "cactusglade_deferred",
            "Requests that wait for room at an upstream",
        );
        let count = IntGaugeVec::new(count, &["service"])?;
        registry.register(Box::new(count.clone()))?;
        let sent = Opts::new(
            "cactusglade_deferred_sent_total",
            "Requests sent after a wait, by whether the upstream had room",
        );
        let sent = IntCounterVec::new(sent, &["service", "room"])?;
        registry.register(Box::new(sent.clone()))?;
        let time = histogram(
            registry,
            "cactusglade_deferred_seconds",
            "Time that requests waited for room before they were sent",
        )?;
        Ok(Self { count, time, sent })
    }
}
