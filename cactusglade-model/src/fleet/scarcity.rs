//! Surges of requests, and daemons that have requests wait while engines lack room.

use cactusglade_core::arena;
use cactusglade_core::units::Millis;
use cactusglade_policy::admission;
use cactusglade_policy::broker::Decision;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Query;
use cactusglade_policy::broker::Strategy;
use rand::Rng;

use super::Event;
use super::Model;
use super::millis;

/// `Scarcity` is a surge of one class, and how daemons decide meanwhile. Each class has a route of its
/// own, whose latency target is that of the class.
#[derive(Clone, Copy, Debug)]
pub struct Scarcity {
    /// Whether daemons have requests wait.
    pub admits: bool,
    /// The surge.
    pub surge: Surge,
}

/// `Surge` is a time with more requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Index of the class.
    pub class: usize,
    /// Rate of its requests meanwhile, as a multiple of the usual one.
    pub factor: f64,
    /// Beginning in milliseconds.
    pub from_ms: f64,
    /// End in milliseconds.
    pub to_ms: f64,
}

impl<R: Strategy> Model<'_, R> {
    /// Returns whether daemons decide by admission.
    pub(super) fn admits(&self) -> bool {
        self.options
            .scarcity
            .is_some_and(|scarcity| scarcity.admits)
    }

    /// Has a daemon decide on a request; returns the grant if it is sent now.
    pub(super) fn admit(
        &mut self,
        now: f64,
        daemon: usize,
        request: usize,
        query: &Query<'_>,
    ) -> Option<Grant> {
        match self.brokers[daemon].admit(millis(now), query) {
            Ok(Decision::Sent(grant)) => Some(grant),
            Ok(Decision::Waits(key, _)) => {
                self.waiting.insert((daemon, key), request);
                self.schedule_look(now, daemon);
                None
            }
            Err(_) => {
                self.refuse(request);
                None
            }
        }
    }

    /// Has the requests that wait at a daemon look for room.
    pub(super) fn advance(&mut self, now: f64, daemon: usize) {
        if !self.brokers[daemon].has_waiting() {
            return;
        }
        let random = &mut self.random;
        let turns = self.brokers[daemon].advance(millis(now), || random.random());
        for turn in turns {
            let Some(request) = self.waiting.remove(&(daemon, turn.key)) else {
                continue;
            };
            if let Ok(grant) = turn.result {
                self.summary.deferred += 1;
                self.summary.forced += u64::from(!turn.has_room);
                self.dispatch(now, daemon, grant, request, Vec::new());
            } else {
                self.refuse(request);
            }
        }
    }

    /// Has a daemon look for room, and again while requests wait.
    pub(super) fn look(&mut self, now: f64, daemon: usize) {
        self.is_timed[daemon] = false;
        self.advance(now, daemon);
        if self.brokers[daemon].has_waiting() {
            self.schedule_look(now, daemon);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    fn schedule_look(&mut self, now: f64, daemon: usize) {
        if std::mem::replace(&mut self.is_timed[daemon], true) {
            return;
        }
        let Millis(pause) = admission::pause(self.random.random());
        self.schedule(now + pause as f64, Event::Look(daemon));
    }

    /// Counts a request that is refused.
    pub(super) fn refuse(&mut self, request: usize) {
        let arrival = &self.requests[request];
        let class = &self.options.classes[arrival.class];
        let is_counted = arrival.at >= self.options.warm_up_ms;
        let outcome = self.summary.classes.entry(class.name.clone()).or_default();
        outcome.failed += u64::from(is_counted);
        if is_counted {
            let failed = (arrival.at, f64::INFINITY, false);
            self.summary.answers.push(failed);
        }
    }

    /// Returns the route of a request.
    pub(super) fn route_of(&self, class: usize) -> arena::Route {
        self.routes.get(class).copied().unwrap_or(self.route)
    }
}
