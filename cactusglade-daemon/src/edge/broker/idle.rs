//! Idle connections to an upstream, kept for reuse.

use cactusglade_core::units::Millis;
use cactusglade_link::link::Connection;

/// Maximum number of idle connections kept for one upstream.
pub const MAX_IDLE: usize = 16;
/// Time for which an idle connection is kept where the upstream announces no timeout.
const USUAL: Millis = Millis(4_000);
/// Time before the upstream's idle timeout at which a connection is dropped. Upstreams announce the
/// timeout in whole seconds.
const MARGIN: Millis = Millis(1_000);
/// Longest idle time after which a connection still carries a request that may run only once.
///
/// The upstream may be closing a connection that has been idle for longer, and the request would be
/// lost with it.
const FRESH: Millis = Millis(700);

/// `Idle` is an open connection that carries no request.
#[derive(Debug)]
pub struct Idle {
    connection: Connection,
    since: Millis,
    until: Millis,
}

impl Idle {
    /// Keeps a connection from `now` on, until shortly before `bound`, the idle timeout that the
    /// upstream announced.
    #[must_use]
    pub fn new(connection: Connection, now: Millis, bound: Option<Millis>) -> Self {
        Self {
            connection,
            since: now,
            until: now + bound.map_or(USUAL, |bound| bound - MARGIN),
        }
    }

    /// Whether the connection can carry a request; `once` says that the request may run only once.
    #[must_use]
    pub fn is_good(&self, now: Millis, once: bool) -> bool {
        let is_fresh = !once || now - self.since <= FRESH;
        is_fresh && self.is_kept(now)
    }

    /// Whether the connection is open and has not reached its idle timeout.
    #[must_use]
    pub fn is_kept(&self, now: Millis) -> bool {
        now < self.until && self.connection.is_open()
    }

    /// Returns the connection.
    #[must_use]
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}
