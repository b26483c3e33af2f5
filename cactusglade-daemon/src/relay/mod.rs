//! The service that stores chats handed over by other daemons until their callers resume them.

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
/// Maximum number of stored chats; beyond it the chats with the lowest ids are evicted.
const MAX_HANDOVERS: usize = 4_096;

/// `Relay` owns the chats that other daemons handed over to this one.
#[derive(Debug)]
pub struct Relay {
    handovers: BTreeMap<String, Handover>,
}

/// `Insert` stores a chat; of two copies of one chat the one with more tokens stays.
#[derive(Clone, Debug)]
pub struct Insert(pub Handover);

/// `Get` requests a chat by its id.
#[derive(Clone, Debug)]
pub struct Get(pub String);

impl Actor for Relay {
    type Args = ();
    type Error = Infallible;

    async fn on_start((): (), _: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            handovers: BTreeMap::new(),
        })
    }
}

impl Message<Insert> for Relay {
    type Reply = ();

    async fn handle(&mut self, insert: Insert, _: &mut Context<Self, ()>) {
        let now = clock::unix_time();
        self.handovers
            .retain(|_, handover| now < handover.deadline_unix_ms);
        let handover = insert.0;
        let stored = self.handovers.get(&handover.id);
        if stored.is_none_or(|stored| stored.emitted.len() <= handover.emitted.len()) {
            self.handovers.insert(handover.id.clone(), handover);
        }
        while self.handovers.len() > MAX_HANDOVERS {
            self.handovers.pop_first();
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
        self.handovers.get(&get.0).cloned()
    }
}
