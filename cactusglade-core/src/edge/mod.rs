//! Settings of a daemon on its users' platform, read from one TOML file.
//!
//! The platform renders the file from a template at each start, so the names of settings are the
//! product's own.
//! `docs/INTERFACES.md` lists them with units.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

/// Error of reading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not TOML, or a setting is missing or of another type.
    #[error(transparent)]
    Toml(#[from] toml::de::Error),
    /// A setting is below its least value.
    #[error("{name} is {value}, expected at least {least}")]
    Bound {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: f64,
        /// Its least value.
        least: f64,
    },
    /// A setting is not a number greater than zero.
    #[error("{name} is {value}, expected a number greater than 0")]
    Positive {
        /// Name of the setting.
        name: &'static str,
        /// Its value.
        value: f64,
    },
}

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Value of the setting `adapter` that selects the platform's adapter.
pub const ADAPTER: &str = "platform";

/// `Settings` configures one entry daemon on the platform.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Settings {
    /// Adapter to bind; always [`ADAPTER`] here.
    pub adapter: String,
    /// Name of the daemon's host, unique among all hosts.
    pub name: String,
    /// Availability zone of the daemon.
    pub zone: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for operators: metrics and status.
    pub operators: SocketAddr,
    /// Peer addresses of some daemons, from which the daemon learns of the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the provider's API for usage reports and orders of upstreams.
    pub provider: SocketAddr,
    /// All availability zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Seconds from the stop signal until the process is killed.
    pub grace_s: f64,
    /// Retries allowed for each request of a caller, over all daemons.
    pub retry_ratio: f64,
    /// Length in seconds of the window over which retries are counted.
    pub retry_window_s: f64,
    /// Retries allowed beyond the ratio in such a window, over all daemons.
    pub retry_slack: f64,
    /// Length in seconds of the window over which an organisation's use is counted.
    pub quota_window_s: f64,
    /// Share by which a quota may be exceeded in such a window.
    pub quota_overshoot: f64,
    /// Units by which a quota may be exceeded beyond that share.
    pub quota_slack: f64,
    /// Length in seconds of a window of usage reports.
    pub usage_window_s: f64,
    /// Seconds from the end of a window until its report is due.
    pub usage_late_s: f64,
    /// Latency target in milliseconds of a route for streams up to which its service counts as
    /// latency-critical; `None` if no service does. See `docs/HARD-LOAD.md`.
    #[serde(default)]
    pub tight_target_ms: Option<f64>,
    /// Factor of its rate by which the requests to a cold upstream may exceed it in any second.
    /// Without this and [`Self::cold_slack`] no upstream counts as cold. See
    /// `docs/design/warmup.md`.
    #[serde(default)]
    pub cold_overshoot: Option<f64>,
    /// Requests to a cold upstream beyond that factor in any second.
    #[serde(default)]
    pub cold_slack: Option<f64>,
    /// Region of each availability zone; a zone without one is in none.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
}

impl Settings {
    /// Reads settings and ignores unknown names, so that a template may be newer than the daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Toml`] if the text is not TOML, or a setting is missing or of another type,
    /// [`Error::Bound`] if a setting is below its least value, and [`Error::Positive`] if one that
    /// must be greater than zero isn't.
    pub fn try_new(text: &str) -> Result<Self> {
        let settings: Self = toml::from_str(text)?;
        check_positive("tight_target_ms", settings.tight_target_ms)?;
        check_least("cold_overshoot", settings.cold_overshoot, 1.0)?;
        check_least("cold_slack", settings.cold_slack, 0.0)?;
        Ok(settings)
    }

    /// Whether a settings file selects the platform's adapter.
    #[must_use]
    pub fn is_selected(text: &str) -> bool {
        let table = text.parse::<toml::Table>();
        table.is_ok_and(|table| table.get("adapter").and_then(toml::Value::as_str) == Some(ADAPTER))
    }
}

/// Fails if a setting is zero or less, or not a number.
fn check_positive(name: &'static str, value: Option<f64>) -> Result<()> {
    match value {
        Some(value) if !value.is_finite() || value <= 0.0 => Err(Error::Positive { name, value }),
        _ => Ok(()),
    }
}

/// Fails if a setting is below its least value, or not a number.
fn check_least(name: &'static str, value: Option<f64>, least: f64) -> Result<()> {
    match value {
        Some(value) if !value.is_finite() || value < least => {
            Err(Error::Bound { name, value, least })
        }
        _ => Ok(()),
    }
}
