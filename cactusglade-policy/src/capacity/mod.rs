//! Plans the number of reclaimable and on-demand upstreams of a service in each zone.
//!
//! Reclaimable upstreams cost a fraction of the others, so they carry the load, with enough in each
//! zone that the remaining zones carry it after a reclaim. A few on-demand upstreams carry what
//! can't wait for replacements. More are ordered only where the reclaimable ones that are left, less
//! those of the zones that may be reclaimed next, don't meet the need. See `docs/PLATFORM.md`.
//!
//! One daemon, the holder of the lease on the duties, places orders. All others keep the same plans,
//! so that a successor orders at once. See `docs/design/succession.md`.

mod observation;
mod plan;
mod targets;

use cactusglade_core::units::Rate;

pub use observation::Cause;
pub use observation::MAX_GAP;
pub use observation::Observation;
pub use observation::Sight;
pub use plan::OBSERVATION_PERIOD;
pub use plan::Plan;

/// Target utilisation of an upstream, low enough that prompts of a burst don't wait for each other.
const TARGET_UTILISATION: f64 = 0.5;
/// Delay of prompts up to which the upstreams are not under pressure, in milliseconds.
const NO_PRESSURE_DELAY_MS: f64 = 100.0;
/// Delay of prompts at which twice the measured work is planned for, in milliseconds; latency
/// targets are a second or more.
const DOUBLE_PRESSURE_DELAY_MS: f64 = 500.0;

/// Returns the factor by which the work is greater than measured, from 1 to 2, by the mean time that
/// prompts wait at the upstreams.
///
/// The measured work is based on typical engines; slower ones show in what prompts wait.
#[must_use]
pub fn pressure(delay_ms: f64) -> f64 {
    let range = DOUBLE_PRESSURE_DELAY_MS - NO_PRESSURE_DELAY_MS;
    1.0 + ((delay_ms - NO_PRESSURE_DELAY_MS) / range).clamp(0.0, 1.0)
}

/// Returns the share of an upstream's usual work that it does not take because of its limit, where a
/// request takes `work_ms` of an upstream's time.
#[must_use]
pub fn impairment(limit: Rate, work_ms: f64) -> f64 {
    let busy = limit.per_second() * work_ms / 1_000.0;
    1.0 - (busy / TARGET_UTILISATION).min(1.0)
}

/// `Zone` counts the upstreams of a service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Number of on-demand upstreams.
    pub on_demand: u64,
    /// Number of reclaimable upstreams.
    pub reclaimable: u64,
    /// Number of upstreams of a version that gets no requests; the others don't include them.
    pub withheld: u64,
}

/// `Order` sets the number of upstreams of one kind in one zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    /// Availability zone.
    pub zone: String,
    /// Whether the upstreams are reclaimable.
    pub reclaimable: bool,
    /// Desired number of upstreams.
    pub count: u64,
}
