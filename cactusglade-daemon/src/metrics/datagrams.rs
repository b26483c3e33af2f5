//! Metrics on the datagrams between daemons.

use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;

use super::Result;
use super::counter;

/// `Datagrams` counts the datagrams that this daemon sends to other daemons.
#[derive(Clone, Debug)]
pub struct Datagrams {
    /// All datagrams.
    pub sent: IntCounter,
    /// Bytes of these, without the headers of the network.
    pub sent_bytes: IntCounter,
    /// Those that this daemon passed on for the relay of its zone.
    pub passed_on: IntCounter,
    /// Neighbours that pass on what this daemon forwards as the relay of its zone.
    pub forwarders: IntGauge,
}

impl Datagrams {
    pub(super) fn try_new(registry: &Registry) -> Result<Self> {
        let forwarders = IntGauge::new(
            "cactusglade_fanout_forwarders",
            "Neighbours that pass on what this daemon forwards",
        )?;
        registry.register(Box::new(forwarders.clone()))?;
        Ok(Self {
            sent: counter(
                registry,
                "cactusglade_datagrams_total",
                "Datagrams sent to other daemons",
            )?,
            sent_bytes: counter(
                registry,
                "cactusglade_datagram_bytes_total",
                "Bytes of datagrams sent to other daemons",
            )?,
            passed_on: counter(
                registry,
                "cactusglade_datagrams_passed_on_total",
                "Datagrams passed on for the relay of the zone",
            )?,
            forwarders,
        })
    }
}
