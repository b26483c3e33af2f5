//! The registry of the model: when it changes, and how a daemon learns of it.

use cactusglade_core::revision::Revision;
use cactusglade_core::units::Millis;
use cactusglade_policy::relay::Reading;
use cactusglade_policy::relay::fanout;
use rand::Rng;

use super::Event;
use super::MILLISECOND;
use super::SECOND;
use super::Simulation;
use super::message::Message;
use super::message::Part;

/// Number of changes, as where the upstreams of a zone are reclaimed and ordered elsewhere.
const CHANGES: u64 = 400;
/// Time within which they come.
const SPAN: u64 = 4 * SECOND;
/// When the first one comes.
const START: u64 = 12 * SECOND;
/// Pause after changes, so that more of them are applied together.
const BATCH_PAUSE: u64 = 400 * MILLISECOND;
/// Time after which the relay sees a change in the call that the store holds open.
const HOLD_STEP: u64 = 20 * MILLISECOND;
/// Time of a call to the store.
const CALL: std::ops::Range<u64> = 10 * MILLISECOND..40 * MILLISECOND;
/// Age from which the relay's state of the registry is no longer relied on.
const MAX_WATERMARK_AGE: Millis = Millis(1_400);
/// Changes in one part in a small zone.
const CHANGES_PER_PART: u64 = 9;
/// Changes in one part where it leaves room for a list of addresses.
const CHANGES_PER_FORWARDED_PART: u64 = 8;

/// Returns the times of the changes.
pub fn changes() -> Vec<u64> {
    let times = (0..CHANGES).map(|number| START + number * SPAN / CHANGES);
    times.collect()
}

impl Simulation {
    fn revision(&self) -> Revision {
        let count = self.changes.partition_point(|at| *at <= self.now);
        Revision::from(count as u64)
    }

    /// Takes over how far the relay has read the registry.
    pub(super) fn announce(&mut self, index: usize, revision: Revision, age: Option<Millis>) {
        if age.is_some_and(|age| age < MAX_WATERMARK_AGE) {
            self.daemons[index].announced = revision;
            self.follow(index);
        }
    }

    /// Adds a part that was forwarded. In a small zone, and in earlier builds, it extends the time for
    /// which a daemon waits; in a large one the first part of a set begins it.
    pub(super) fn add_part(&mut self, index: usize, part: Part) {
        let is_spread = self.is_spread(index);
        let daemon = &mut self.daemons[index];
        daemon.inbox.push(part);
        if is_spread {
            daemon.announced = daemon.announced.max(part.revision);
        } else {
            daemon.due = None;
        }
        self.follow(index);
    }

    fn is_spread(&self, index: usize) -> bool {
        let daemon = &self.daemons[index];
        let reachable = daemon.roster.reachable_in_zone(self.millis());
        daemon.is_modern && fanout::is_large(reachable)
    }

    /// Lets a daemon apply what has arrived, wait for what it lacks, or call the store.
    pub(super) fn follow(&mut self, index: usize) {
        let now = self.millis();
        if self.now < self.daemons[index].busy_until {
            return;
        }
        if self.daemons[index].roster.is_relay(now) {
            self.call(index);
            return;
        }
        if let Some(revision) = self.daemons[index].reassemble() {
            self.apply(index, revision);
            return;
        }
        if self.daemons[index].announced <= self.daemons[index].known {
            self.daemons[index].due = None;
            return;
        }
        match self.daemons[index].due {
            Some(due) if self.now >= due => self.call(index),
            Some(_) => {}
            None => {
                let is_spread = self.is_spread(index);
                let span = fanout::forward_timeout(is_spread, self.random.random());
                let due = self.now + span.0 * MILLISECOND;
                self.daemons[index].due = Some(due);
                self.schedule(due, Event::Wake(index));
            }
        }
    }

    fn call(&mut self, index: usize) {
        let answer = self.now + self.random.random_range(CALL);
        self.daemons[index].busy_until = answer + 1;
        self.schedule(answer, Event::Answer(index));
    }

    /// Handles the answer of the store.
    pub(super) fn read(&mut self, index: usize) {
        let now = self.millis();
        let revision = self.revision();
        let daemon = &mut self.daemons[index];
        let after = daemon.known;
        let has_changes = revision > after;
        let reading = Reading {
            after: Some(after),
            revision,
            has_changes,
        };
        let base = daemon.progress.record(now, &reading);
        let is_relay = daemon.roster.is_relay(now);
        if !is_relay {
            daemon.record.reads += 1;
        }
        if !has_changes {
            daemon.busy_until = self.now + HOLD_STEP;
            self.schedule(self.now + HOLD_STEP, Event::Wake(index));
            return;
        }
        if is_relay {
            self.forward_changes(index, base, revision, after);
        }
        self.apply(index, revision);
    }

    fn forward_changes(
        &mut self,
        index: usize,
        after: Revision,
        revision: Revision,
        known: Revision,
    ) {
        let per_part = if self.is_spread(index) {
            CHANGES_PER_FORWARDED_PART
        } else {
            CHANGES_PER_PART
        };
        let changes = u64::from(revision) - u64::from(known);
        let count = usize::try_from(changes.div_ceil(per_part)).unwrap_or(usize::MAX);
        let parts = (0..count).zip((0..changes).step_by(usize::try_from(per_part).unwrap_or(1)));
        let parts = parts.map(|(number, first)| {
            Message::Entries(Part {
                after,
                revision,
                number,
                count,
                changes: per_part.min(changes - first),
            })
        });
        self.forward(index, &parts.collect::<Vec<_>>());
    }

    /// Puts changes in force at a daemon, which then pauses.
    fn apply(&mut self, index: usize, revision: Revision) {
        let first = usize::try_from(u64::from(self.daemons[index].known)).unwrap_or(usize::MAX);
        let delay = self.changes.get(first).map(|at| self.now - *at);
        let daemon = &mut self.daemons[index];
        let latest = daemon.record.latest_change;
        daemon.record.latest_change = latest.max(delay.unwrap_or_default());
        daemon.known = revision;
        daemon.due = None;
        daemon.busy_until = self.now + BATCH_PAUSE;
        self.schedule(self.now + BATCH_PAUSE, Event::Wake(index));
    }
}
