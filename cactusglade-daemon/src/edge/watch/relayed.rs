//! The registry as the daemon that speaks for the zone has read it.
//!
//! One daemon a zone follows the store and passes on what it reads. The others ask the store only
//! where that daemon is silent, has lost the store itself, or something it passed on was lost.

use std::time::Duration;

use cactusglade_core::fleet::Change;
use cactusglade_core::units::Millis;
use cactusglade_wire::gossip::Entries;
use cactusglade_wire::port::Result;
use cactusglade_wire::port::Revision;
use cactusglade_wire::port::Source;
use cactusglade_wire::port::Update;
use kameo::actor::ActorRef;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::edge::mesh;
use crate::edge::mesh::Hearsay;
use crate::edge::mesh::Mesh;

/// Time for which a daemon that reads for others lets the store wait: its word on the registry is
/// not older than this and the pause in which it gathers changes.
const WAIT: Millis = Millis(900);
/// Time for which something passed on may be under way before the store is asked.
const UNDER_WAY: Duration = Duration::from_millis(300);
/// Time after which a daemon that hears nothing new looks again at whom it relies on.
const QUIET: Duration = Duration::from_secs(1);

/// `Relayed` follows a source through the daemon that speaks for the zone.
#[derive(Debug)]
pub struct Relayed<S> {
    /// The registry in the store.
    pub source: S,
    /// How the daemon that speaks for the zone knows the registry.
    pub hearsay: watch::Receiver<Hearsay>,
    /// What it has passed on.
    pub entries: mpsc::Receiver<Entries>,
    /// The mesh, which passes on what this daemon reads.
    pub mesh: ActorRef<Mesh>,
    /// Whether the last look was at the store.
    pub has_asked: bool,
    /// Parts of what was passed on that are not complete yet.
    pub parts: Vec<Entries>,
}

impl<S: Source<Item = Change>> Source for Relayed<S> {
    type Item = Change;

    async fn read(&mut self) -> Result<Update<Change>> {
        self.has_asked = true;
        let news = self.source.read().await?;
        self.tell(news.revision, news.revision, Vec::new()).await;
        Ok(news)
    }

    async fn watch(&mut self, after: Revision, _: Millis) -> Result<Update<Change>> {
        loop {
            let Some(known) = self.hearsay.borrow_and_update().revision else {
                return self.ask(after, WAIT).await;
            };
            if std::mem::take(&mut self.has_asked) {
                // The store is in reach again, through another daemon.
                return Ok(news(after, Vec::new()));
            }
            let is_behind = known > after.0;
            let pause = if is_behind { UNDER_WAY } else { QUIET };
            tokio::select! {
                Some(entries) = self.entries.recv() => {
                    if let Some(news) = self.collect(after, entries) {
                        return Ok(news);
                    }
                }
                Ok(()) = self.hearsay.changed(), if !is_behind => {}
                () = tokio::time::sleep(pause) => {
                    if is_behind {
                        return self.ask(after, Millis(0)).await;
                    }
                }
            }
        }
    }
}

impl<S: Source<Item = Change>> Relayed<S> {
    async fn ask(&mut self, after: Revision, wait: Millis) -> Result<Update<Change>> {
        self.has_asked = true;
        let news = self.source.watch(after, wait).await?;
        self.tell(after, news.revision, news.items.clone()).await;
        Ok(news)
    }

    async fn tell(&mut self, after: Revision, revision: Revision, changes: Vec<Change>) {
        let told = mesh::Told {
            after: after.0,
            revision: revision.0,
            changes,
        };
        // The mesh ends before this task only when the daemon does.
        let _ = self.mesh.tell(told).await;
    }

    /// Puts the parts of what was passed on together.
    fn collect(&mut self, after: Revision, entries: Entries) -> Option<Update<Change>> {
        if entries.after > after.0 || entries.revision <= after.0 {
            return None;
        }
        if self
            .parts
            .first()
            .is_none_or(|one| one.revision != entries.revision)
        {
            self.parts.clear();
        }
        let (revision, count) = (Revision(entries.revision), entries.parts);
        self.parts.push(entries);
        if self.parts.len() < count {
            return None;
        }
        self.parts.sort_by_key(|entries| entries.part);
        let changes = self.parts.drain(..).flat_map(|entries| entries.changes);
        Some(news(revision, changes.collect()))
    }
}

const fn news(revision: Revision, items: Vec<Change>) -> Update<Change> {
    Update {
        items,
        unreadable: Vec::new(),
        revision,
    }
}
