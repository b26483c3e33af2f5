//! Decides how much traffic a new version gets, and when it has won or lost.
//!
//! Each daemon judges for itself, without the platform, whether the new version is bad: a
//! cumulative sum of log likelihood ratios over the answers of the new version against the old
//! one's rate. A veto is sticky. Only the holder of the rollout lease moves a rollout on, through
//! the platform's table. See `docs/DESIGN.md`.

use cactusglade_core::meta::Rollout as Object;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::row::Status;
use cactusglade_core::units::Millis;

/// Rate of bad answers below which an old version's rate is not taken at its word.
const LEAST_RATE: f64 = 0.02;
/// How much worse than the old version counts as bad.
const MARGIN: f64 = 0.20;
/// Highest rate of bad answers that is still told apart from the old version's.
const MOST_RATE: f64 = 0.95;
/// Sum of log likelihood ratios at which the new version is vetoed.
const THRESHOLD: f64 = 12.0;
/// Time before the deadline at which the driver stops moving on, for a write on its way.
const DEADLINE_MARGIN: Millis = Millis(2_000);

/// `Test` is the running evidence against a new version.
///
/// It starts again from nothing whenever the sum falls below zero, so that a version which turns
/// bad later is caught as fast as one that was bad at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Test {
    old: Count,
    new: Count,
    sum: f64,
}

impl Test {
    /// Takes in answers of the old version.
    pub fn old(&mut self, count: Count) {
        self.old.good += count.good;
        self.old.bad += count.bad;
    }

    /// Takes in answers of the new version.
    #[allow(clippy::cast_precision_loss)]
    pub fn new_version(&mut self, count: Count) {
        self.new.good += count.good;
        self.new.bad += count.bad;
        let expected = self.expected();
        let worse = (expected + MARGIN).min(MOST_RATE);
        let bad = (worse / expected).ln();
        let good = ((1.0 - worse) / (1.0 - expected)).ln();
        // Answers of one batch have no order; bad ones go last so that none is forgotten.
        self.sum = (self.sum + good * count.good as f64).max(0.0) + bad * count.bad as f64;
    }

    /// The sum, zero where nothing speaks against the new version.
    #[must_use]
    pub const fn sum(&self) -> f64 {
        self.sum
    }

    /// Whether the new version is bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.sum >= THRESHOLD
    }

    /// Answers of the new version so far.
    #[must_use]
    pub const fn answers(&self) -> u64 {
        self.new.good + self.new.bad
    }

    #[allow(clippy::cast_precision_loss)]
    fn expected(&self) -> f64 {
        const PRIOR: f64 = 20.0;
        let bad = self.old.bad as f64 + PRIOR * LEAST_RATE;
        let all = (self.old.good + self.old.bad) as f64 + PRIOR;
        (bad / all).clamp(LEAST_RATE, MOST_RATE - MARGIN)
    }
}

/// Share of a model's traffic for the new version, in per cent.
#[must_use]
pub fn share(object: &Object, row: Option<&Move>, vetoed: bool, unix: Millis) -> u64 {
    let Some(row) = row else { return 0 };
    match row.status {
        Status::Done => 100,
        Status::Undone => 0,
        Status::Moving if vetoed || unix >= object.deadline_unix_ms => 0,
        Status::Moving => step(object, row.step),
    }
}

fn step(object: &Object, step: u64) -> u64 {
    let place = usize::try_from(step).unwrap_or(usize::MAX);
    object
        .steps
        .get(place)
        .or(object.steps.last())
        .copied()
        .unwrap_or(0)
}

/// `Progress` is what the driver remembers of the step in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    step: Option<u64>,
    since: Millis,
    answers: u64,
}

impl Progress {
    /// The row to write next for a rollout, if any.
    ///
    /// `now` is the daemon's own clock, by which the stay on a step is timed; `unix` is the wall
    /// clock, by which the deadline is.
    pub fn next(
        &mut self,
        now: Millis,
        unix: Millis,
        object: &Object,
        row: Option<&Move>,
        test: &Test,
        veto: Option<&str>,
    ) -> Option<Move> {
        let write = |status, step, reason: &str| {
            Some(Move {
                status,
                step,
                reason: reason.to_owned(),
                at_unix_ms: unix,
                deadline_unix_ms: object.deadline_unix_ms,
            })
        };
        let at = row.map_or(0, |row| row.step);
        if row.is_some_and(|row| row.status != Status::Moving) {
            return None;
        }
        if let Some(reason) = veto {
            return write(Status::Undone, at, reason);
        }
        if unix + DEADLINE_MARGIN >= object.deadline_unix_ms {
            return write(
                Status::Undone,
                at,
                "the deadline came before the last step was over",
            );
        }
        if row.is_none() {
            return write(Status::Moving, 0, "started");
        }
        if self.step != Some(at) {
            *self = Self {
                step: Some(at),
                since: now,
                answers: test.answers(),
            };
        }
        let stayed = now - self.since >= object.step_ms;
        let evidence = test.answers() - self.answers >= object.evidence;
        if !stayed || !evidence || test.sum() > THRESHOLD / 2.0 {
            return None;
        }
        let steps = u64::try_from(object.steps.len()).unwrap_or(u64::MAX);
        if at + 1 >= steps {
            write(Status::Done, at, "every step passed")
        } else {
            write(Status::Moving, at + 1, "the step before passed")
        }
    }
}
