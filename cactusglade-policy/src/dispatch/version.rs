//! Selects the version of a request, and records its result as evidence on that version.

use cactusglade_core::arena;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::set::Target;
use cactusglade_core::units::Millis;

use crate::choice::Strategy;
use crate::dispatch::Action;
use crate::dispatch::Arm;
use crate::dispatch::Cause;
use crate::dispatch::Dispatch;
use crate::dispatch::Verdict;
use crate::dispatch::ticket::Ticket;
use crate::pool::Need;

impl<R: Strategy> Dispatch<R> {
    /// Updates the row of a rollout; an older row is ignored.
    pub fn update_move(&mut self, rollout: &str, row: &Move) {
        let record = self
            .rollout_records
            .entry((rollout.to_owned(), row.deadline_unix_ms));
        record.or_default().update_move(row);
        self.update_trials();
    }

    /// Records a veto from another daemon or from this daemon's evidence.
    pub fn veto(&mut self, rollout: &str, deadline: Millis, reason: &str) {
        let record = self.rollout_records.entry((rollout.to_owned(), deadline));
        record.or_default().veto(reason);
        self.update_trials();
    }

    /// Applies known moves and vetoes to the trials, including those received before the rollout's
    /// object.
    pub(super) fn update_trials(&mut self) {
        for (key, rollout) in self.set.rollouts.iter() {
            let id = (rollout.name.clone(), rollout.meta.deadline_unix_ms);
            let Some(record) = self.rollout_records.get(&id) else {
                continue;
            };
            let trial = self.trials.entry(key).or_default();
            if let Some(row) = record.row() {
                trial.update_move(row);
            }
            if let Some(reason) = record.veto_reason() {
                trial.veto(reason);
            }
        }
    }

    /// Records evidence of another daemon on one arm of a rollout.
    pub fn record_evidence(&mut self, rollout: &str, route: &str, arm: Arm, count: Count) {
        let Some(key) = self.set.rollouts.find(rollout) else {
            return;
        };
        let Some(route) = self.set.routes.find(route) else {
            return;
        };
        if self
            .trials
            .entry(key)
            .or_default()
            .record_remote(route, arm, count)
        {
            self.actions.push(Action::Veto(key));
        }
    }

    /// Returns the needs of a target: both versions while a rollout is in progress.
    pub(super) fn needs(&self, target: Target) -> [Option<Need>; 2] {
        match target {
            Target::Plain(service) => [Some(Need::Service(service)), None],
            Target::Chat(model) => {
                let serving = self
                    .set
                    .models
                    .get(model)
                    .map(|model| Need::Version(model.version));
                let rollout = self
                    .set
                    .rollouts
                    .iter()
                    .find(|(_, rollout)| rollout.model == model);
                [
                    serving,
                    rollout.map(|(_, rollout)| Need::Version(rollout.to)),
                ]
            }
        }
    }

    /// Returns the need of a request at this time.
    pub(super) fn current_need(&self, unix: Millis, ticket: &Ticket) -> Option<Need> {
        match self.set.routes.get(ticket.submission.route)?.target {
            Target::Plain(service) => Some(Need::Service(service)),
            Target::Chat(model) => {
                let serving = self.set.models.get(model)?.version;
                let rollout = self
                    .set
                    .rollouts
                    .iter()
                    .find(|(_, rollout)| rollout.model == model);
                let version = rollout.and_then(|(key, rollout)| {
                    let trial = self.trials.get(&key)?;
                    Some(trial.version(rollout, unix, ticket.draw()))
                });
                Some(Need::Version(version.unwrap_or(serving)))
            }
        }
    }

    /// Returns the need of a request that has been answered in part.
    ///
    /// The version is kept unless an attempt with it failed, it was vetoed, or no upstream has it.
    pub(super) fn pinned_need(&self, ticket: &Ticket) -> Option<Need> {
        let need = ticket.need.filter(|need| {
            ticket.has_progress && !ticket.uses_old_version && self.pool.serves(*need)
        })?;
        let vetoed = self.set.rollouts.iter().any(|(key, rollout)| {
            let trial = self.trials.get(&key);
            need == Need::Version(rollout.to)
                && trial.is_some_and(|trial| trial.veto_reason().is_some())
        });
        (!vetoed).then_some(need)
    }

    /// Counts a failed attempt against its version.
    ///
    /// The request continues with the old version, so that a bad one fails it only once.
    pub(super) fn record_fault(&mut self, key: arena::Ticket, cause: Cause) {
        if !matches!(cause, Cause::Lost | Cause::Broken) {
            return;
        }
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        ticket.uses_old_version = true;
        let ticket = ticket.clone();
        if let Some(version) = ticket.version() {
            self.record_verdict(&ticket, version, Verdict::Fault);
        }
    }

    pub(super) fn record_verdict(
        &mut self,
        ticket: &Ticket,
        version: arena::Version,
        verdict: Verdict,
    ) {
        let Some(count) = verdict.count() else { return };
        let rollout = self.set.rollouts.iter().find(|(_, rollout)| {
            (rollout.to == version || rollout.from == version)
                && self
                    .set
                    .routes
                    .get(ticket.submission.route)
                    .map(|route| route.target)
                    == Some(Target::Chat(rollout.model))
        });
        let Some((key, rollout)) = rollout else {
            return;
        };
        let arm = if rollout.to == version {
            Arm::New
        } else {
            Arm::Old
        };
        if self
            .trials
            .entry(key)
            .or_default()
            .record_local(ticket.submission.route, arm, count)
        {
            self.actions.push(Action::Veto(key));
        }
    }
}
