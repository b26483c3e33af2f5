//! Experiments with the decisions of a fleet, played in a model without a network.

mod run;
mod settings;
mod statistics;

pub use run::Comparison;
pub use run::Run;
pub use settings::Settings;
pub use statistics::Estimate;
