//! Connections to other systems and the clocks by which they are timed.
//!
//! The daemon and the platform's adapter share this one client, so that what a failed call proves
//! is decided in one place.

pub mod clock;
pub mod link;
