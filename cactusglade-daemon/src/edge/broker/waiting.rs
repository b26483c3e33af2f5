//! Requests that wait at the daemon for room at an upstream.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactusglade_core::arena;
use cactusglade_core::call::Prompt;
use cactusglade_core::units::Millis;
use cactusglade_policy::admission;
use cactusglade_policy::broker::Decision;
use cactusglade_policy::broker::Denied;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Report;
use cactusglade_policy::broker::Turn;
use kameo::actor::ActorRef;
use kameo::message::Context;
use kameo::message::Message;
use tokio::sync::oneshot;

use super::Broker;
use super::messages::Later;
use super::messages::Place;
use super::messages::Placed;
use super::messages::Placement;
use super::messages::Refund;
use super::messages::Refused;

/// `Replies` holds the callers' ends of the requests that wait.
#[derive(Debug, Default)]
pub struct Replies {
    waiting: BTreeMap<arena::Waiting, Reply>,
    /// Whether a timer runs that sends [`Look`].
    is_timed: bool,
}

/// `Reply` is what is needed to answer a request that waits.
#[derive(Debug)]
struct Reply {
    sender: oneshot::Sender<Result<Placement, Refused>>,
    organisation: Option<arena::Organisation>,
    prompt: Option<Arc<Prompt>>,
    runs_once: bool,
}

/// `Look` has the requests that wait look for room.
#[derive(Clone, Copy, Debug)]
struct Look;

/// `Drain` has requests sent without a wait, since the daemon shuts down.
#[derive(Clone, Copy, Debug)]
pub struct Drain;

impl Message<Look> for Broker {
    type Reply = ();

    async fn handle(&mut self, _: Look, context: &mut Context<Self, ()>) {
        self.replies.is_timed = false;
        self.advance(self.clock.now());
        self.set_timer(context.actor_ref());
    }
}

impl Message<Drain> for Broker {
    type Reply = ();

    async fn handle(&mut self, _: Drain, _: &mut Context<Self, ()>) {
        self.policy.drain();
        self.advance(self.clock.now());
    }
}

impl Broker {
    /// Decides on a request that may wait.
    pub(super) fn admit(
        &mut self,
        now: Millis,
        place: &Place,
        query: &Query<'_>,
        actor: &ActorRef<Self>,
    ) -> Result<Placed, Refused> {
        match self.policy.admit(now, query).map_err(refused)? {
            Decision::Sent(grant) => {
                self.count_units(place.organisation, place.prompt.as_deref());
                let placement = self.placement(now, grant, place.runs_once)?;
                Ok(Placed::Now(placement))
            }
            Decision::Waits(key, expected) => {
                let (sender, receiver) = oneshot::channel();
                let reply = Reply {
                    sender,
                    organisation: place.organisation,
                    prompt: place.prompt.clone(),
                    runs_once: place.runs_once,
                };
                self.replies.waiting.insert(key, reply);
                self.count_waiting();
                self.set_timer(actor);
                let refund = Refund {
                    organisation: place.organisation,
                    prompt: place.prompt.clone(),
                };
                Ok(Placed::Later(Later::new(
                    receiver,
                    expected,
                    actor.clone(),
                    refund,
                )))
            }
        }
    }

    /// Has the requests that wait look for room, and answers those whose wait ends. Those whose callers
    /// have left are dropped.
    pub(super) fn advance(&mut self, now: Millis) {
        if self.replies.waiting.is_empty() {
            return;
        }
        let policy = &mut self.policy;
        self.replies.waiting.retain(|key, reply| {
            let has_left = reply.sender.is_closed();
            if has_left {
                policy.leave(now, *key);
            }
            !has_left
        });
        for turn in self.policy.advance(now, rand::random::<f64>) {
            self.end_wait(now, &turn);
        }
        self.count_waiting();
    }

    fn end_wait(&mut self, now: Millis, turn: &Turn) {
        let Some(reply) = self.replies.waiting.remove(&turn.key) else {
            return;
        };
        let result = match turn.result {
            Ok(grant) => {
                self.count_units(reply.organisation, reply.prompt.as_deref());
                self.count_departure(turn);
                self.placement(now, grant, reply.runs_once)
            }
            Err(denied) => Err(refused(denied)),
        };
        let result = result.map(|placement| Placement {
            waited: Some(turn.waited),
            ..placement
        });
        if let Err(Ok(placement)) = reply.sender.send(result) {
            self.take_back(
                now,
                &placement.grant,
                reply.organisation,
                reply.prompt.as_deref(),
            );
        }
    }

    /// Takes back a placement whose caller left at this moment.
    fn take_back(
        &mut self,
        now: Millis,
        grant: &Grant,
        organisation: Option<arena::Organisation>,
        prompt: Option<&Prompt>,
    ) {
        let report = Report {
            is_good: None,
            is_explained: false,
            is_lost: false,
            latency: None,
        };
        self.policy.finish_prefill(grant);
        self.policy.finish(now, grant.upstream, &report, 0.0);
        if let Some(organisation) = organisation {
            let units = self.policy.units(organisation, prompt);
            self.policy.refund(organisation, units);
        }
    }

    fn count_departure(&self, turn: &Turn) {
        let waits = &self.metrics.waits;
        let waited = Duration::from_millis(turn.waited.0).as_secs_f64();
        waits.time.observe(waited);
        let catalog = self.policy.catalog();
        if let Some(service) = catalog.services.get(turn.service) {
            let room = if turn.has_room { "yes" } else { "no" };
            let labels = [service.name.as_str(), room];
            waits.sent.with_label_values(&labels).inc();
        }
    }

    /// Updates the gauge of waiting requests.
    fn count_waiting(&self) {
        let services = self.policy.catalog().services.iter();
        for (key, service) in services.filter(|(key, _)| self.policy.is_tight(*key)) {
            let count = i64::try_from(self.policy.waiting(key)).unwrap_or(i64::MAX);
            let gauge = &self.metrics.waits.count;
            gauge.with_label_values(&[&service.name]).set(count);
        }
    }

    /// Starts a timer where requests wait and none runs.
    fn set_timer(&mut self, actor: &ActorRef<Self>) {
        if self.replies.is_timed || self.replies.waiting.is_empty() {
            return;
        }
        self.replies.is_timed = true;
        let pause = Duration::from_millis(admission::pause(rand::random()).0);
        let actor = actor.downgrade();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            if let Some(actor) = actor.upgrade() {
                // Fails only while the daemon stops.
                let _ = actor.tell(Look).await;
            }
        });
    }
}

/// Returns the refusal of a request that was not charged.
fn refused(denied: Denied) -> Refused {
    Refused {
        retry_after: denied.retry_after,
        reason: denied.reason,
        ..denied.kind.into()
    }
}
