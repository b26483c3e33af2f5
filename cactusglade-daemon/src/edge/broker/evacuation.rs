//! Evacuations of zones, as the operators order them.

use cactusglade_core::fleet::Evacuation;
use cactusglade_core::revision::Revision;
use kameo::message::Context;
use kameo::message::Message;
use slog::warn;

use super::Broker;

/// `Evacuate` passes on orders to evacuate zones, and their ends.
#[derive(Clone, Debug)]
pub struct Evacuate {
    /// The orders and ends.
    pub statements: Vec<Evacuation>,
    /// Where they were read.
    pub origin: Origin,
}

/// `Origin` is where a daemon has learnt of the evacuation of a zone, or of its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A read of all orders in the store, at this revision.
    Read(Revision),
    /// The changes of the store.
    Feed,
    /// Another daemon.
    Daemon,
    /// A store that was restored from a copy and has not got the order again.
    Restoration,
}

impl Origin {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Read(_) | Self::Feed => "store",
            Self::Daemon => "daemon",
            Self::Restoration => "restored_store",
        }
    }
}

impl Message<Evacuate> for Broker {
    type Reply = ();

    async fn handle(&mut self, evacuate: Evacuate, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let statements = &evacuate.statements;
        let changes = match evacuate.origin {
            Origin::Read(revision) => self.policy.read_evacuations(now, revision, statements),
            _ => self.policy.learn_evacuations(now, statements),
        };
        self.follow_evacuations(&changes, evacuate.origin);
    }
}

impl Broker {
    /// Drops the idle connections to upstreams of zones that are evacuated from now on, and logs
    /// the evacuations that begin or end.
    pub(super) fn follow_evacuations(&mut self, changes: &[Evacuation], origin: Origin) {
        for change in changes {
            let keys = self.policy.upstreams_in(&change.zone);
            let upstreams = keys.iter().filter_map(|key| self.policy.upstream(*key));
            let own = upstreams.map(|one| one.in_flight).sum::<u64>();
            if change.is_ordered {
                for key in &keys {
                    self.idle.remove(key);
                }
            }
            let event = if change.is_ordered {
                "zone_evacuated"
            } else {
                "zone_restored"
            };
            warn!(self.log, "{}", event; "zone" => &change.zone,
                "revision" => change.revision.number, "era" => change.revision.era,
                "from" => origin.as_str(), "upstreams" => keys.len(), "own" => own);
        }
        let zones = self.policy.evacuated_zones().count();
        let zones = i64::try_from(zones).unwrap_or(i64::MAX);
        self.metrics.evacuated.set(zones);
    }
}
