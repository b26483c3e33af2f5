//! Names under which services are registered.

use std::fmt;

/// `Name` identifies a service by its daemon and its own name.
///
/// The daemon is part of the name because several daemons may run in one process; see
/// `docs/DESIGN.md`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name<'a> {
    /// Name of the daemon.
    pub daemon: &'a str,
    /// Name of the service in the daemon.
    pub service: &'static str,
}

impl fmt::Display for Name<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.service)
    }
}
