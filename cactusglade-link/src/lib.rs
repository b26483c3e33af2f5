//! Connections to other systems, bodies, and clocks.
//!
//! The daemon and the platform's adapter share this HTTP client, so that one place decides whether
//! the request of a failed call may have run.

pub mod body;
pub mod clock;
pub mod link;
