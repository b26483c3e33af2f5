//! Metrics on the speed of upstreams.

use prometheus::GaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use super::Result;

/// `Paces` holds the metrics on the speed of upstreams.
#[derive(Clone, Debug)]
pub struct Paces {
    /// Expected times for work at upstreams relative to the usual time: least, mean and greatest
    /// of each service of which one is known.
    pub spread: GaugeVec,
    /// Prompt tokens that upstreams of usual pace read per millisecond, by latency-critical service.
    pub prefill_speeds: GaugeVec,
}

impl Paces {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        let spread = Opts::new(
            "cactusglade_pace",
            "Expected times for work at upstreams relative to the usual time",
        );
        let spread = GaugeVec::new(spread, &["service", "statistic"])?;
        registry.register(Box::new(spread.clone()))?;
        let speeds = Opts::new(
            "cactusglade_prefill_tokens_per_ms",
            "Prompt tokens that upstreams of usual pace read per millisecond",
        );
        let prefill_speeds = GaugeVec::new(speeds, &["service"])?;
        registry.register(Box::new(prefill_speeds.clone()))?;
        Ok(Self {
            spread,
            prefill_speeds,
        })
    }
}
