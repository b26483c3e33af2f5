//! Source whose silence is not taken for the absence of changes.
//!
//! The store holds a call until there is a change. Where its answer is lost, the connection stays
//! sound and the call waits for its timeout. The relay of a zone therefore calls at short
//! intervals, and the other daemons call again when they learn that they have missed a change, that
//! the store was restored, or that there is no relay.

use cactusglade_core::units::Millis;
use cactusglade_wire::port::Result;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Source;
use cactusglade_wire::port::Update;
use slog::Logger;
use slog::info;
use tokio::sync::watch;

use crate::edge::mesh::Progress;

/// Time for which the store may hold a call of the relay open.
const RELAY_MAX_WAIT: Millis = Millis(900);
/// Time for which the store may hold a call while the relay is in a later era: an answer without
/// changes tells this daemon the era too.
const ERA_MAX_WAIT: Millis = Millis(200);

/// `Standing` is how far the zone's relay supervises a call for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// There is no relay.
    Absent,
    /// The relay follows the store in the era of the call.
    Level,
    /// The relay is in a later era: the store was restored since the call's revision.
    Ahead,
}

impl Standing {
    fn of(relay: Progress, after: Revision) -> Self {
        match relay.revision {
            None => Self::Absent,
            Some(revision) if revision.era > after.era => Self::Ahead,
            Some(_) => Self::Level,
        }
    }

    /// Returns the time for which the store may hold the call, at most `wait`.
    fn max_wait(self, wait: Millis) -> Millis {
        match self {
            Self::Absent => wait.min(RELAY_MAX_WAIT),
            Self::Level => wait,
            Self::Ahead => wait.min(ERA_MAX_WAIT),
        }
    }
}

/// `Supervised` follows a source whose changes other daemons also follow.
#[derive(Debug)]
pub struct Supervised<S> {
    /// Source in the store.
    pub source: S,
    /// State of the zone's relay; it has no revision where this daemon is the relay or hears of
    /// none.
    pub progress: watch::Receiver<Progress>,
    /// Newest version that the store should have told this daemon and has not.
    pub missed: watch::Receiver<u64>,
    /// Log of the daemon.
    pub log: Logger,
}

impl<S: Source> Source for Supervised<S> {
    type Item = S::Item;

    async fn read(&mut self) -> Result<Update<S::Item>> {
        // A read has a short timeout of its own.
        self.source.read().await
    }

    async fn watch(&mut self, after: Revision, wait: Millis) -> Result<Update<S::Item>> {
        // Only a change that is missed from now on concerns the call.
        self.missed.mark_unchanged();
        loop {
            let standing = Standing::of(*self.progress.borrow(), after);
            let changed = self
                .progress
                .wait_for(|relay| Standing::of(*relay, after) != standing);
            let update = self.source.watch(after, standing.max_wait(wait));
            tokio::select! {
                update = update => return update,
                Ok(()) = self.missed.changed() => {
                    info!(self.log, "held_call_dropped"; "after" => %after,
                        "missed" => *self.missed.borrow());
                }
                // A call that was made under the supervision of a relay may be lost without it, and one
                // across a restoration is answered with the next change at the earliest.
                Ok(_) = changed, if standing == Standing::Level => {}
            }
        }
    }
}
