//! What the dispatch service does with each message.

use std::collections::BTreeMap;

use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_policy::dispatch::Arm;
use kameo::message::Context;
use kameo::message::Message;

use crate::dispatch::Dispatch;
use crate::dispatch::messages::Adopt;
use crate::dispatch::messages::Again;
use crate::dispatch::messages::Arrive;
use crate::dispatch::messages::Finish;
use crate::dispatch::messages::Introduce;
use crate::dispatch::messages::Learn;
use crate::dispatch::messages::Lesson;
use crate::dispatch::messages::Summarise;
use crate::dispatch::messages::Summary;
use crate::dispatch::messages::Tick;
use crate::dispatch::messages::Watch;
use crate::dispatch::messages::Watched;
use cactusglade_link::clock;

/// Parts of a name of evidence: rollout, route and arm.
const EVIDENCE_SEPARATOR: char = '/';
const OLD: &str = "old";
const NEW: &str = "new";

impl Message<Arrive> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, arrive: Arrive, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let ticket = self.policy.submit(now, unix, arrive.ask);
        self.orders.insert(ticket, arrive.orders);
        self.act();
    }
}

impl Message<Again> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, again: Again, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let before = self.policy.counters();
        self.policy.retry(now, unix, again.ticket, again.cause);
        let after = self.policy.counters();
        self.metrics.retries.inc_by(after.retried - before.retried);
        self.metrics.moves.inc_by(after.moved - before.moved);
        self.act();
    }
}

impl Message<Finish> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self, ()>) {
        self.orders.remove(&finish.ticket);
        self.keep(finish.upstream, finish.connection);
        self.finish(finish.ticket, finish.report);
        self.act();
    }
}

impl Message<Adopt> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        let adopted = self.policy.adopt(now, unix, adopt.0);
        self.act();
        adopted
    }
}

impl Message<Introduce> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, introduce: Introduce, _: &mut Context<Self, ()>) {
        self.spread = Some(introduce.0);
    }
}

impl Message<Learn> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, learn: Learn, _: &mut Context<Self, ()>) {
        for lesson in learn.0 {
            self.learn(lesson);
        }
        self.act();
    }
}

impl Message<Tick> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        self.sweep();
        self.policy.tick(now, unix);
        self.act();
        self.policy.is_busy()
    }
}

impl Message<Summarise> for Dispatch {
    type Reply = Summary;

    async fn handle(&mut self, _: Summarise, _: &mut Context<Self, Summary>) -> Summary {
        let set = self.policy.set();
        let usage = self.policy.usage().iter().filter_map(|(key, tokens)| {
            set.organisations
                .get(*key)
                .map(|organisation| (organisation.name.clone(), *tokens))
        });
        Summary {
            usage: usage.collect(),
            evidence: self.evidence(),
            counters: self.policy.counters(),
            waiting: self.policy.waiting(),
            open: self.orders.len(),
        }
    }
}

impl Message<Watch> for Dispatch {
    type Reply = Vec<Watched>;

    async fn handle(&mut self, _: Watch, _: &mut Context<Self, Vec<Watched>>) -> Vec<Watched> {
        let set = self.policy.set();
        let rollouts = set.rollouts.iter().filter_map(|(key, rollout)| {
            let trial = self.policy.trials().get(&key)?;
            Some(Watched {
                name: rollout.name.clone(),
                object: rollout.meta.clone(),
                test: *trial.detector(),
                veto: trial.veto_reason().map(str::to_owned),
                row: trial.row().cloned(),
            })
        });
        rollouts.collect()
    }
}

impl Dispatch {
    fn learn(&mut self, lesson: Lesson) {
        match lesson {
            Lesson::Leaving(name, incarnation, gone) => {
                let left = gone - clock::unix_time();
                let now = self.clock.now();
                if self
                    .policy
                    .mark_leaving(now, &name, incarnation, now + left)
                {
                    slog::info!(self.log, "upstream_leaving";
                        "upstream" => name, "incarnation" => incarnation, "left_ms" => left.0);
                }
            }
            Lesson::Move(name, row) => self.policy.update_move(&name, &row),
            Lesson::Veto(name, deadline, reason) => self.policy.veto(&name, deadline, &reason),
            Lesson::Daemon(daemon) => self.learn_daemon(&daemon),
        }
    }

    fn learn_daemon(&mut self, daemon: &Daemon) {
        for (organisation, tokens) in &daemon.usage {
            self.policy.charge_remote(organisation, *tokens);
        }
        for (name, count) in &daemon.evidence {
            let mut parts = name.split(EVIDENCE_SEPARATOR);
            let (Some(rollout), Some(route), Some(arm)) =
                (parts.next(), parts.next(), parts.next())
            else {
                continue;
            };
            let arm = if arm == NEW { Arm::New } else { Arm::Old };
            self.policy.record_evidence(rollout, route, arm, *count);
        }
    }

    fn evidence(&self) -> BTreeMap<String, Count> {
        let set = self.policy.set();
        let mut evidence = BTreeMap::new();
        for (key, trial) in self.policy.trials() {
            let Some(rollout) = set.rollouts.get(*key) else {
                continue;
            };
            for ((route, arm), count) in trial.local_counts() {
                let Some(route) = set.routes.get(*route) else {
                    continue;
                };
                let arm = if *arm == Arm::New { NEW } else { OLD };
                evidence.insert(format!("{}/{}/{arm}", rollout.name, route.name), *count);
            }
        }
        evidence
    }
}
