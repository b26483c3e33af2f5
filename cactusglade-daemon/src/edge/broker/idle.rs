//! Idle connections to an upstream, kept for reuse.

use cactusglade_core::units::Millis;
use cactusglade_link::link::Connection;

/// Maximum number of idle connections kept for one upstream.
pub const MAX_IDLE_CONNECTIONS: usize = 16;
/// Time for which an idle connection is kept where the upstream announces no timeout.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);
/// Time before the upstream's idle timeout at which a connection is dropped. Upstreams announce the
/// timeout in whole seconds.
const EXPIRY_MARGIN: Millis = Millis(1_000);
/// Longest idle time after which a connection still carries a request that may run only once.
///
/// The upstream may be closing a connection that has been idle for longer, and the request would be
/// lost with it.
const MAX_IDLE_FOR_SINGLE_RUN: Millis = Millis(700);

/// `Idle` is an open connection that carries no request.
#[derive(Debug)]
pub struct Idle {
    connection: Connection,
    since: Millis,
    expires_at: Millis,
}

impl Idle {
    /// Keeps a connection from `now` on, until shortly before `bound`, the idle timeout that the
    /// upstream announced.
    #[must_use]
    pub fn new(connection: Connection, now: Millis, bound: Option<Millis>) -> Self {
        Self {
            connection,
            since: now,
            expires_at: now + bound.map_or(DEFAULT_KEEP_ALIVE, |bound| bound - EXPIRY_MARGIN),
        }
    }

    /// Whether the connection can carry a request; `runs_once` says that the request may run only
    /// once.
    #[must_use]
    pub fn is_usable(&self, now: Millis, runs_once: bool) -> bool {
        let is_fresh = !runs_once || now - self.since <= MAX_IDLE_FOR_SINGLE_RUN;
        is_fresh && self.is_alive(now)
    }

    /// Whether the connection is open and has not reached its idle timeout.
    #[must_use]
    pub fn is_alive(&self, now: Millis) -> bool {
        now < self.expires_at && self.connection.is_open()
    }

    /// Returns the connection.
    #[must_use]
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}
