//! Evidence on parts of prompts that may crash upstreams: collected from the ends of attempts, shared
//! with other daemons, and applied to requests.

use std::sync::Arc;

use cactusglade_core::call::Prompt;
use cactusglade_core::errors::Kind;
use cactusglade_core::fleet::Suspicion;
use cactusglade_core::units::Millis;
use cactusglade_policy::quarantine;
use cactusglade_policy::quarantine::Admission;
use cactusglade_policy::quarantine::Judgement;
use kameo::message::Context;
use kameo::message::Message;
use slog::info;
use slog::warn;

use super::Broker;
use super::Ended;
use super::Place;
use super::Refused;

/// `Proved` reports that an answer has gone on for long enough to prove that the prompt is sound.
#[derive(Clone, Debug)]
pub struct Proved {
    /// Prompt of the request.
    pub prompt: Arc<Prompt>,
    /// When the upstream began to answer.
    pub began: Millis,
}

/// `Heed` passes on what other daemons know of parts of prompts that may crash upstreams.
#[derive(Clone, Debug)]
pub struct Heed(pub Vec<Suspicion>);

impl Message<Proved> for Broker {
    type Reply = ();

    async fn handle(&mut self, proved: Proved, _: &mut Context<Self, ()>) {
        let (now, shared) = (self.clock.now(), proved.prompt.shared());
        let released = self
            .policy
            .quarantine
            .record_answer(now, proved.began, shared);
        self.log_judgements(&released);
    }
}

impl Message<Heed> for Broker {
    type Reply = ();

    async fn handle(&mut self, heed: Heed, _: &mut Context<Self, ()>) {
        let now = self.clock.now();
        for suspicion in &heed.0 {
            let judgements = self.policy.quarantine.learn(now, suspicion);
            self.log_judgements(&judgements);
        }
    }
}

impl Broker {
    /// Refuses a request with a part of the prompt that crashes upstreams; returns whether the request
    /// is a trial of such a part.
    pub(super) fn check_prompt(&mut self, now: Millis, place: &Place) -> Result<bool, Refused> {
        let shared = place.prompt.as_deref().map_or(&[][..], Prompt::shared);
        let admission = self.policy.quarantine.admit(now, shared, rand::random());
        let refused = |until: Millis| Refused {
            retry_after: Some(until - now),
            ..Kind::Quarantined.into()
        };
        match admission {
            Admission::Open => Ok(false),
            Admission::Trial => {
                let ids = place.prompt.as_deref().map(Prompt::shared_ids);
                info!(self.log, "parts_tried"; "parts" => ids);
                Ok(true)
            }
            Admission::Wait(until) => Err(Refused {
                trial: Some(until),
                ..refused(until)
            }),
            Admission::Refused(until) => Err(refused(until)),
        }
    }

    /// Records what the end of an attempt says about its prompt.
    pub(super) fn record_evidence(&mut self, now: Millis, ended: &Ended) {
        let Some(prompt) = &ended.prompt else { return };
        if ended.is_cut && ended.events <= quarantine::MAX_EVENTS {
            self.policy.record_cut(now, ended.grant.upstream, prompt);
        }
        if let Some(began) = ended.began.filter(|_| ended.report.is_good == Some(true)) {
            let shared = prompt.shared();
            let released = self.policy.quarantine.record_answer(now, began, shared);
            self.log_judgements(&released);
        }
    }

    /// Logs and counts parts of prompts that are held or released.
    pub(super) fn log_judgements(&self, judgements: &[Judgement]) {
        for judgement in judgements {
            match judgement {
                Judgement::Held {
                    parts,
                    incidents,
                    until,
                } => {
                    let parts = parts.iter().map(|part| format!("{part:x}"));
                    warn!(self.log, "parts_held"; "parts" => parts.collect::<Vec<_>>().join(","),
                        "incidents" => incidents, "for_ms" => (*until - self.clock.now()).0);
                    self.metrics.held_parts.inc();
                }
                Judgement::Released { part } => {
                    info!(self.log, "part_released"; "part" => format!("{part:x}"));
                }
            }
        }
    }
}
