//! The service that keeps chats of other daemons until their callers resume them.

use std::collections::BTreeMap;
use std::convert::Infallible;

use cactusglade_core::row::Handover;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;

use cactusglade_link::clock;

/// Name of the service.
pub const NAME: &str = "relay";
/// Chats that are kept at most; the oldest by name give way.
const MAX_KEPT: usize = 4_096;

/// `Relay` owns the chats that were handed over to this daemon.
#[derive(Debug)]
pub struct Relay {
    kept: BTreeMap<String, Handover>,
}

/// `Keep` takes a chat in; of two states of one chat the longer stays.
#[derive(Clone, Debug)]
pub struct Keep(pub Handover);

/// `Get` asks for a chat by its id.
#[derive(Clone, Debug)]
pub struct Get(pub String);

impl Actor for Relay {
    type Args = ();
    type Error = Infallible;

    async fn on_start((): (), _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            kept: BTreeMap::new(),
        })
    }
}

impl Message<Keep> for Relay {
    type Reply = ();

    async fn handle(&mut self, keep: Keep, _: &mut Context<Self, ()>) {
        let now = clock::unix_time();
        self.kept
            .retain(|_, handover| now < handover.deadline_unix_ms);
        let handover = keep.0;
        let known = self.kept.get(&handover.id);
        if known.is_none_or(|known| known.emitted.len() <= handover.emitted.len()) {
            self.kept.insert(handover.id.clone(), handover);
        }
        while self.kept.len() > MAX_KEPT {
            self.kept.pop_first();
        }
    }
}

impl Message<Get> for Relay {
    type Reply = Option<Handover>;

    async fn handle(
        &mut self,
        get: Get,
        _: &mut Context<Self, Option<Handover>>,
    ) -> Option<Handover> {
        self.kept.get(&get.0).cloned()
    }
}
