//! Source of the registry's entries as forwarded by the zone's relay.
//!
//! One daemon of each zone, the relay, follows the registry in the store and forwards the changes.
//! The others read the store only where the relay is silent, can't reach the store, or a datagram
//! that it forwarded was lost.

use std::time::Duration;

use cactusglade_core::fleet::Change;
use cactusglade_core::units::Millis;
use cactusglade_policy::relay::fanout;
use cactusglade_wire::gossip::Entries;
use cactusglade_wire::port::Result;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Source;
use cactusglade_wire::port::Update;
use kameo::actor::ActorRef;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::mesh;
use crate::edge::mesh::Mesh;
use crate::edge::mesh::Progress;

/// Time for which the store may hold a call of the relay open. The relay's state of the registry is
/// never older than this plus the pause after changes.
const RELAY_MAX_WAIT: Millis = Millis(900);
/// Interval at which the relay's state is checked again while nothing changes.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// `Relayed` follows a source through the zone's relay.
#[derive(Debug)]
pub struct Relayed<S> {
    /// Registry in the store.
    pub source: S,
    /// State of the registry as the relay reports it.
    pub progress: watch::Receiver<Progress>,
    /// Changes that the relay has forwarded.
    pub entries: mpsc::Receiver<Entries>,
    /// Mesh, which forwards the changes that this daemon reads from the store.
    pub mesh: ActorRef<Mesh>,
    /// Whether the last call went to the store.
    pub has_read_store: bool,
    /// Received parts of a set of changes that is not complete yet.
    pub parts: Vec<Entries>,
}

impl<S: Source<Item = Change>> Source for Relayed<S> {
    type Item = Change;

    async fn read(&mut self) -> Result<Update<Change>> {
        self.has_read_store = true;
        let update = self.source.read().await?;
        self.report(None, update.revision, Vec::new()).await;
        Ok(update)
    }

    async fn watch(&mut self, after: Revision, _: Millis) -> Result<Update<Change>> {
        let mut due = None;
        loop {
            let progress = *self.progress.borrow_and_update();
            let Some(relay_revision) = progress.revision else {
                return self.poll_store(after, RELAY_MAX_WAIT).await;
            };
            if std::mem::take(&mut self.has_read_store) {
                // An empty answer reports that the registry is reachable again, through the relay.
                return Ok(new_update(after, Vec::new()));
            }
            if relay_revision.era < after.era {
                // The relay has not noticed that the store was restored.
                return self.poll_store(after, RELAY_MAX_WAIT).await;
            }
            let is_behind = relay_revision > after || due.is_some();
            let pause = match (is_behind, progress.is_zone_large) {
                (true, true) => {
                    // Parts of later changes arrive meanwhile and don't extend the time.
                    let due = due.get_or_insert_with(|| Instant::now() + forward_timeout(true));
                    due.saturating_duration_since(Instant::now())
                }
                (true, false) => forward_timeout(false),
                (false, _) => RECHECK_INTERVAL,
            };
            tokio::select! {
                Some(entries) = self.entries.recv() => {
                    let revision = entries.revision;
                    if let Some(update) = self.reassemble(after, entries) {
                        return Ok(update);
                    }
                    if progress.is_zone_large && revision > after {
                        // A part without the others tells of changes before the next heartbeat does.
                        due.get_or_insert_with(|| Instant::now() + forward_timeout(true));
                    }
                }
                Ok(()) = self.progress.changed(), if !is_behind => {}
                () = tokio::time::sleep(pause) => {
                    if is_behind {
                        return self.poll_store(after, Millis(0)).await;
                    }
                }
            }
        }
    }
}

impl<S: Source<Item = Change>> Relayed<S> {
    /// Reads the changes from the store.
    async fn poll_store(&mut self, after: Revision, wait: Millis) -> Result<Update<Change>> {
        self.has_read_store = true;
        let update = self.source.watch(after, wait).await?;
        self.report(Some(after), update.revision, update.items.clone())
            .await;
        Ok(update)
    }

    /// Reports to the mesh what was read from the store, so that it can forward the changes.
    async fn report(&mut self, after: Option<Revision>, revision: Revision, changes: Vec<Change>) {
        let changeset = mesh::Changeset {
            after,
            revision,
            changes,
        };
        // Fails only while the daemon stops.
        let _ = self.mesh.tell(changeset).await;
    }

    /// Adds a part of forwarded changes; returns the changes once all parts have arrived.
    fn reassemble(&mut self, after: Revision, entries: Entries) -> Option<Update<Change>> {
        if entries.after > after || entries.revision <= after {
            return None;
        }
        if self
            .parts
            .first()
            .is_none_or(|one| one.revision != entries.revision)
        {
            self.parts.clear();
        }
        let (revision, count) = (entries.revision, entries.parts);
        self.parts.push(entries);
        if self.parts.len() < count {
            return None;
        }
        self.parts.sort_by_key(|entries| entries.part);
        let changes = self.parts.drain(..).flat_map(|entries| entries.changes);
        Some(new_update(revision, changes.collect()))
    }
}

fn forward_timeout(is_zone_large: bool) -> Duration {
    Duration::from_millis(fanout::forward_timeout(is_zone_large, rand::random()).0)
}

const fn new_update(revision: Revision, items: Vec<Change>) -> Update<Change> {
    Update {
        items,
        unreadable: Vec::new(),
        revision,
    }
}
