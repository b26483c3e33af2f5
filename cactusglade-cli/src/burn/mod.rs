//! Error-budget burn rates of routes, computed from the daemons' counters.

mod page;
mod report;
mod sample;
mod series;

pub use page::draw;
pub use report::Objective;
pub use report::Report;
pub use report::Row;
pub use sample::Goals;
pub use sample::Key;
pub use sample::Sample;
pub use series::Series;

/// Error of a burn report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A daemon's metrics can't be read.
    #[error("the metrics can't be read: {0}")]
    Metrics(#[from] std::io::Error),
    /// No counter increased between two samples of the same daemon.
    #[error("no requests were counted between two samples of the same daemon")]
    NoRequests,
    /// The chart can't be drawn.
    #[error("the chart can't be drawn: {0}")]
    Page(String),
}

/// Result of a burn report.
pub type Result<T> = std::result::Result<T, Error>;
