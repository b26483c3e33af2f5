//! The registry of upstreams in a zone: the relay forwards what it reads, and announces how far that
//! is.

use cactusglade_core::units::Millis;
use cactusglade_policy::relay::Reading;
use cactusglade_wire::gossip::Datagram;
use cactusglade_wire::gossip::Entries;
use cactusglade_wire::gossip::Watermark;
use kameo::message::Context;
use kameo::message::Message;

use super::Changeset;
use super::Mesh;
use super::Progress;

/// Age from which the relay's state of the registry is no longer relied on.
///
/// The relay reads the store at least every 1.3 s, and an upstream that leaves may get requests for
/// 2 s at most.
const MAX_WATERMARK_AGE: Millis = Millis(1_400);

impl Message<Changeset> for Mesh {
    type Reply = ();

    async fn handle(&mut self, changeset: Changeset, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let reading = Reading {
            after: changeset.after,
            revision: changeset.revision,
            has_changes: !changeset.changes.is_empty(),
        };
        let base = self.registry.record(now, &reading);
        if !self.roster.is_relay(now) {
            return;
        }
        let max_bytes = self.max_forwarded_bytes(now);
        let parts = Entries::split_within(base, changeset.revision, &changeset.changes, max_bytes);
        let parts = parts.into_iter().map(Datagram::Entries);
        self.forward(now, &parts.collect::<Vec<_>>()).await;
    }
}

impl Mesh {
    /// Publishes the relay's state of the registry; one that is too old counts as none.
    pub(super) fn publish_progress(&self, now: Millis, registry: Watermark) {
        let is_fresh = registry
            .age_ms
            .is_some_and(|age| Millis(age) < MAX_WATERMARK_AGE);
        let progress = Progress {
            revision: is_fresh.then_some(registry.revision),
            is_zone_large: self.is_zone_large(now),
        };
        self.progress.send_if_modified(|published| {
            let is_changed = *published != progress;
            *published = progress;
            is_changed
        });
    }
}
