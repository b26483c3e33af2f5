//! Reconstructs the timeline of one request from the logs of any number of daemons.

mod line;
mod timeline;

pub use line::Line;
pub use timeline::Timeline;
