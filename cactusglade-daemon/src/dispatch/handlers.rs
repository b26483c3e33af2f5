//! Message handlers of the dispatch service.

use std::collections::BTreeMap;

use cactusglade_core::row::Count;
use cactusglade_core::row::Daemon;
use cactusglade_policy::dispatch::Arm;
use kameo::message::Context;
use kameo::message::Message;

use crate::dispatch::Dispatch;
use crate::dispatch::messages::Admit;
use crate::dispatch::messages::Adopt;
use crate::dispatch::messages::Apply;
use crate::dispatch::messages::Finish;
use crate::dispatch::messages::Inspect;
use crate::dispatch::messages::Inspection;
use crate::dispatch::messages::Retry;
use crate::dispatch::messages::Subscribe;
use crate::dispatch::messages::Summarise;
use crate::dispatch::messages::Summary;
use crate::dispatch::messages::Tick;
use crate::dispatch::messages::Update;
use cactusglade_link::clock;

/// Separator of rollout, route and arm in the names of evidence.
const EVIDENCE_SEPARATOR: char = '/';
const OLD_ARM: &str = "old";
const NEW_ARM: &str = "new";

impl Message<Admit> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, admit: Admit, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let ticket = self.policy.submit(now, unix, admit.submission);
        self.instructions.insert(ticket, admit.instructions);
        self.run_actions();
    }
}

impl Message<Retry> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, retry: Retry, _: &mut Context<Self, ()>) {
        let (now, unix) = self.now();
        let before = self.policy.counters();
        self.policy.retry(now, unix, retry.ticket, retry.cause);
        let after = self.policy.counters();
        self.metrics.retries.inc_by(after.retried - before.retried);
        self.metrics.moves.inc_by(after.moved - before.moved);
        self.run_actions();
    }
}

impl Message<Finish> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self, ()>) {
        self.instructions.remove(&finish.ticket);
        self.keep_idle(finish.upstream, finish.connection);
        self.finish(finish.ticket, finish.report);
        self.run_actions();
    }
}

impl Message<Adopt> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        let adopted = self.policy.adopt(now, unix, adopt.0);
        self.run_actions();
        adopted
    }
}

impl Message<Subscribe> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, subscribe: Subscribe, _: &mut Context<Self, ()>) {
        self.subscriber = Some(subscribe.0);
    }
}

impl Message<Apply> for Dispatch {
    type Reply = ();

    async fn handle(&mut self, apply: Apply, _: &mut Context<Self, ()>) {
        for update in apply.0 {
            self.apply(update);
        }
        self.run_actions();
    }
}

impl Message<Tick> for Dispatch {
    type Reply = bool;

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, bool>) -> bool {
        let (now, unix) = self.now();
        self.close_ended();
        self.policy.tick(now, unix);
        self.run_actions();
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
            open: self.instructions.len(),
        }
    }
}

impl Message<Inspect> for Dispatch {
    type Reply = Vec<Inspection>;

    async fn handle(
        &mut self,
        _: Inspect,
        _: &mut Context<Self, Vec<Inspection>>,
    ) -> Vec<Inspection> {
        let set = self.policy.set();
        let rollouts = set.rollouts.iter().filter_map(|(key, rollout)| {
            let trial = self.policy.trials().get(&key)?;
            Some(Inspection {
                name: rollout.name.clone(),
                object: rollout.meta.clone(),
                detector: *trial.detector(),
                veto: trial.veto_reason().map(str::to_owned),
                row: trial.row().cloned(),
            })
        });
        rollouts.collect()
    }
}

impl Dispatch {
    fn apply(&mut self, update: Update) {
        match update {
            Update::Leaving(name, incarnation, end_unix) => {
                let remaining = end_unix - clock::unix_time();
                let now = self.clock.now();
                if self
                    .policy
                    .mark_leaving(now, &name, incarnation, now + remaining)
                {
                    slog::info!(self.log, "upstream_leaving";
                        "upstream" => name, "incarnation" => incarnation, "left_ms" => remaining.0);
                }
            }
            Update::Move(name, row) => self.policy.update_move(&name, &row),
            Update::Veto(name, deadline, reason) => self.policy.veto(&name, deadline, &reason),
            Update::Daemon(daemon) => self.apply_report(&daemon),
        }
    }

    fn apply_report(&mut self, daemon: &Daemon) {
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
            let arm = if arm == NEW_ARM { Arm::New } else { Arm::Old };
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
                let arm = if *arm == Arm::New { NEW_ARM } else { OLD_ARM };
                evidence.insert(format!("{}/{}/{arm}", rollout.name, route.name), *count);
            }
        }
        evidence
    }
}
