//! The story of one request, put together from the logs of any number of daemons.

mod line;
mod story;

pub use line::Line;
pub use story::Story;
