//! Source whose silence is not taken for the absence of changes.
//!
//! The store holds a call until there is a change. Where its answer is lost, the connection stays
//! sound and the call waits for its timeout. The relay of a zone therefore calls at short
//! intervals, and the other daemons call again when they learn that they have missed a change, or
//! that there is no relay.

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
            let relay = self.progress.borrow().revision;
            let is_restored = |relay: &Progress| {
                let revision = relay.revision.unwrap_or_default();
                revision.era > after.era
            };
            let wait = match relay {
                Some(relay) if relay.era > after.era => Millis(0),
                Some(_) => wait,
                None => wait.min(RELAY_MAX_WAIT),
            };
            let has_relay = relay.is_some();
            // A call across a restoration is answered with the next change at the earliest.
            let relay_changed = self.progress.wait_for(|relay| {
                relay.revision.is_none() && has_relay || is_restored(relay) && wait > Millis(0)
            });
            tokio::select! {
                update = self.source.watch(after, wait) => return update,
                Ok(()) = self.missed.changed() => {
                    info!(self.log, "held_call_dropped"; "after" => %after,
                        "missed" => *self.missed.borrow());
                }
                // A call that was made under the supervision of a relay may be lost without it.
                Ok(_) = relay_changed => {}
            }
        }
    }
}
