//! What upstreams state in the heads of their answers: load, pace and limits.

use cactusglade_core::arena;
use cactusglade_core::fleet;
use cactusglade_core::units::Millis;
use cactusglade_core::units::Rate;
use cactusglade_policy::throttle::Layout;
use cactusglade_policy::throttle::Statement;
use cactusglade_wire::port::Limit;
use cactusglade_wire::port::Load;
use kameo::message::Context;
use kameo::message::Message;
use slog::info;

use super::Broker;

/// `Observe` reports what an upstream stated in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Observe {
    /// Key of the upstream.
    pub upstream: arena::Upstream,
    /// Load as stated.
    pub load: Option<Load>,
    /// Limit as stated.
    pub limit: Limit,
    /// When the request was sent.
    pub sent_at: Millis,
}

/// `Curb` passes on the limits of upstreams that other daemons know of.
#[derive(Clone, Debug)]
pub struct Curb(pub Vec<fleet::Limit>);

/// `LearnPaces` passes on the paces of upstreams that other daemons know of.
#[derive(Clone, Debug)]
pub struct LearnPaces(pub Vec<fleet::Pace>);

/// `LearnPrefills` passes on the long prompts that other daemons have sent to upstreams.
#[derive(Clone, Debug)]
pub struct LearnPrefills(pub Vec<fleet::Prefill>);

/// `Rearrange` sets the daemons among which the limits of upstreams are divided.
#[derive(Clone, Debug)]
pub struct Rearrange(pub Layout);

impl Message<Observe> for Broker {
    type Reply = ();

    async fn handle(&mut self, observe: Observe, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        if let Some(load) = observe.load {
            self.policy
                .record_load(now, observe.upstream, load.running, load.waiting);
            if let Some(percent) = load.pace {
                self.policy.record_pace(now, observe.upstream, percent);
            }
        }
        let (rate, at) = match observe.limit {
            Limit::None => (None, observe.sent_at),
            Limit::Rate(rate) => (Some(rate), now),
            Limit::Unreadable => {
                self.log_limit(observe.upstream, "unreadable");
                return;
            }
        };
        let statement = Statement { rate, at };
        if self.policy.record_limit(now, observe.upstream, statement) {
            self.log_limit(observe.upstream, "answer");
        }
    }
}

impl Message<Curb> for Broker {
    type Reply = ();

    async fn handle(&mut self, curb: Curb, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for limit in &curb.0 {
            if let Some(key) = self.policy.learn_limit(now, limit) {
                self.log_limit(key, "daemon");
            }
        }
    }
}

impl Message<LearnPaces> for Broker {
    type Reply = ();

    async fn handle(&mut self, paces: LearnPaces, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for pace in &paces.0 {
            self.policy.learn_pace(now, pace);
        }
    }
}

impl Message<LearnPrefills> for Broker {
    type Reply = ();

    async fn handle(&mut self, prefills: LearnPrefills, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        self.metrics.prefills.heard.inc_by(prefills.0.len() as u64);
        for prefill in &prefills.0 {
            self.policy.learn_prefill(now, prefill);
        }
    }
}

impl Message<Rearrange> for Broker {
    type Reply = ();

    async fn handle(&mut self, rearrange: Rearrange, _: &mut Context<Self, ()>) {
        self.policy.rearrange(self.clock.now(), rearrange.0);
    }
}

impl Broker {
    /// Logs the limit of an upstream after a change, and where this daemon learnt of it.
    fn log_limit(&self, key: arena::Upstream, from: &str) {
        if let Some(upstream) = self.policy.upstream(key) {
            let rate = upstream.throttle.rate().map(Rate::per_second);
            info!(self.log, "upstream_limited"; "upstream" => &upstream.instance.name,
                "service" => &upstream.instance.service, "per_s" => rate, "from" => from);
        }
    }
}
