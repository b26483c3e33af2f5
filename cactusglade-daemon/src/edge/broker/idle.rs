//! Idle connections to one upstream.

use cactusglade_core::units::Millis;
use cactusglade_link::link::Connection;

/// Idle connections that are kept for one upstream.
pub const MAX_IDLE: usize = 16;
/// Time for which a connection is kept where the upstream names none.
const USUAL: Millis = Millis(4_000);
/// Time before the upstream's own bound at which a connection is given up: the bound is told in
/// whole seconds.
const MARGIN: Millis = Millis(1_000);
/// Longest idle time after which a request that may run only once is sent on a kept connection,
/// which the upstream may be closing just then.
const FRESH: Millis = Millis(700);

/// `Idle` is a connection that waits for another request.
#[derive(Debug)]
pub struct Idle {
    connection: Connection,
    since: Millis,
    until: Millis,
}

impl Idle {
    /// Keeps a connection from now on, for as long as the upstream says it does.
    #[must_use]
    pub fn new(connection: Connection, now: Millis, bound: Option<Millis>) -> Self {
        Self {
            connection,
            since: now,
            until: now + bound.map_or(USUAL, |bound| bound - MARGIN),
        }
    }

    /// Whether it can be used by a request of this kind.
    #[must_use]
    pub fn is_good(&self, now: Millis, once: bool) -> bool {
        let is_fresh = !once || now - self.since <= FRESH;
        is_fresh && self.is_kept(now)
    }

    /// Whether it is still worth keeping.
    #[must_use]
    pub fn is_kept(&self, now: Millis) -> bool {
        now < self.until && self.connection.is_open()
    }

    /// The connection itself.
    #[must_use]
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}
