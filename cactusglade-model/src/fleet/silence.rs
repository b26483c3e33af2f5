//! Requests that an engine hasn't begun to answer after some time: daemons give them up and send them
//! to another engine, or wait on.

use cactusglade_core::arena;
use cactusglade_policy::broker::Grant;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::silence::Wait;

use super::Event;
use super::LOSS_TARGETS;
use super::Model;
use super::millis;
use super::setup;
use crate::engine::Run;

/// Time until a caller's deadline, in milliseconds.
const DEADLINE_MS: f64 = 12_000.0;
/// Share of the time until the deadline that the wait for one engine may take, as in the product.
const MAX_SILENCE_SHARE: f64 = 0.6;

/// `Silence` is what daemons do about an engine that has not begun to answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Silence {
    /// They wait until it does.
    #[default]
    Endless,
    /// They count the request as lost after some targets, whatever the load of the engine.
    Lost,
    /// They wait on where its load explains the silence.
    Explained,
}

/// `Attempt` is one sending of a request to an engine that takes it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the daemon.
    pub daemon: usize,
    /// The daemon's grant.
    pub grant: Grant,
    /// Index of the request.
    pub request: usize,
    /// Index of the engine.
    pub engine: usize,
    /// Engines that were tried before.
    pub tried: Vec<arena::Upstream>,
    /// When it was sent, in milliseconds.
    pub sent_at: f64,
    /// How the engine processes it.
    pub run: Run,
    /// Load that the engine states, `None` if it is the one at the first token.
    pub load: Option<u64>,
}

impl<R: Strategy> Model<'_, R> {
    /// Waits for the first token of an attempt, as long as daemons do.
    pub(super) fn await_first_token(&mut self, attempt: Attempt) {
        let class = &self.options.classes[self.requests[attempt.request].class];
        let due = attempt.sent_at + class.target_ms * LOSS_TARGETS;
        let until = due.min(self.latest(&attempt));
        self.await_until(until, attempt);
    }

    fn await_until(&mut self, until: f64, attempt: Attempt) {
        let is_endless = self.options.spread.silence == Silence::Endless;
        let is_answered = attempt.run.first_token.is_finite();
        if is_answered && (is_endless || attempt.run.first_token <= until) {
            self.complete(&attempt);
        } else {
            self.schedule(until, Event::Silent(attempt));
        }
    }

    /// Returns the time up to which the wait for an engine may be extended.
    fn latest(&self, attempt: &Attempt) -> f64 {
        let deadline = self.requests[attempt.request].at + DEADLINE_MS;
        attempt.sent_at + (deadline - attempt.sent_at).max(0.0) * MAX_SILENCE_SHARE
    }

    /// Waits on, or gives a request up and sends it to another engine.
    pub(super) fn handle_silence(&mut self, now: f64, attempt: Attempt) {
        let class = &self.options.classes[self.requests[attempt.request].class];
        let wait = Wait {
            sent_at: millis(attempt.sent_at),
            target: millis(class.target_ms),
            latest: millis(self.latest(&attempt)),
        };
        let is_asked = self.options.spread.silence == Silence::Explained;
        let broker = &self.brokers[attempt.daemon];
        let extension = broker.explains_silence(millis(now), &attempt.grant, &wait);
        let extension = extension.filter(|_| is_asked);
        #[allow(clippy::cast_precision_loss)]
        if let Some(extension) = extension.filter(|one| one.until > millis(now)) {
            self.summary.extensions += 1;
            self.await_until(extension.until.0 as f64, attempt);
            return;
        }
        self.summary.repeated += u64::from(attempt.run.first_token.is_finite());
        self.engines[attempt.engine].cancel(now, &attempt.run);
        let is_explained = extension.is_some();
        let Attempt {
            daemon,
            grant,
            request,
            tried,
            ..
        } = attempt;
        self.lose(now, daemon, &grant, is_explained, request, tried);
    }

    /// Returns the number of engines that a daemon knows and sends no requests to, since requests were
    /// lost there.
    pub(super) fn ejected(&self, now: f64) -> usize {
        let Some(broker) = self.brokers.first() else {
            return 0;
        };
        let upstreams = broker.upstreams().filter(|(_, one)| {
            let engine = setup::engine_index(&one.instance.name);
            let engine = engine.and_then(|index| self.engines.get(index));
            let is_sound = engine.is_some_and(|engine| !engine.is_dark);
            is_sound && one.is_available(millis(now)) && one.is_doubted(millis(now))
        });
        upstreams.count()
    }
}
