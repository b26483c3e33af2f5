//! Decides the share of traffic for a new version, and when its rollout ends.
//!
//! Each daemon detects by itself, without the platform, whether the new version is bad: by a
//! cumulative sum (CUSUM) of log likelihood ratios of its answers against the old version's failure
//! rate. A veto is permanent. Only the holder of the rollout lease advances a rollout, through the
//! platform's table. See `docs/DESIGN.md`.

use cactusglade_core::meta::Rollout as Object;
use cactusglade_core::row::Count;
use cactusglade_core::row::Move;
use cactusglade_core::row::Status;
use cactusglade_core::units::Millis;

/// Minimum assumed rate of bad answers of the old version.
const MIN_BAD_RATE: f64 = 0.02;
/// Increase over the old version's rate of bad answers at which the new version counts as bad.
const BAD_RATE_MARGIN: f64 = 0.20;
/// Maximum rate of bad answers that is assumed of a bad version.
const MAX_BAD_RATE: f64 = 0.95;
/// Cumulative sum at which the new version is vetoed.
const VETO_THRESHOLD: f64 = 12.0;
/// Time before the deadline at which a rollout is rolled back, so that the write takes effect by
/// the deadline.
const DEADLINE_MARGIN: Millis = Millis(2_000);

/// `Detector` accumulates the evidence against a new version.
///
/// The sum restarts at zero whenever it becomes negative, so that a version that degrades later is
/// detected as fast as one that is bad from the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    old: Count,
    new: Count,
    sum: f64,
}

impl Detector {
    /// Records answers of the old version.
    pub fn record_old(&mut self, count: Count) {
        self.old.good += count.good;
        self.old.bad += count.bad;
    }

    /// Records answers of the new version.
    #[allow(clippy::cast_precision_loss)]
    pub fn record_new(&mut self, count: Count) {
        self.new.good += count.good;
        self.new.bad += count.bad;
        let expected = self.expected();
        let bad_rate = (expected + BAD_RATE_MARGIN).min(MAX_BAD_RATE);
        let bad_weight = (bad_rate / expected).ln();
        let good_weight = ((1.0 - bad_rate) / (1.0 - expected)).ln();
        // A batch has no order; bad answers are added last so that a restart at zero drops none.
        self.sum =
            (self.sum + good_weight * count.good as f64).max(0.0) + bad_weight * count.bad as f64;
    }

    /// Returns the cumulative sum, zero without evidence against the new version.
    #[must_use]
    pub const fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns whether the new version is bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.sum >= VETO_THRESHOLD
    }

    /// Returns the number of answers of the new version.
    #[must_use]
    pub const fn answers(&self) -> u64 {
        self.new.good + self.new.bad
    }

    #[allow(clippy::cast_precision_loss)]
    fn expected(&self) -> f64 {
        const PRIOR_ANSWERS: f64 = 20.0;
        let bad = self.old.bad as f64 + PRIOR_ANSWERS * MIN_BAD_RATE;
        let all = (self.old.good + self.old.bad) as f64 + PRIOR_ANSWERS;
        (bad / all).clamp(MIN_BAD_RATE, MAX_BAD_RATE - BAD_RATE_MARGIN)
    }
}

/// Returns the share of a model's traffic for the new version, in per cent.
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
    let index = usize::try_from(step).unwrap_or(usize::MAX);
    object
        .steps
        .get(index)
        .or(object.steps.last())
        .copied()
        .unwrap_or(0)
}

/// `Progress` tracks the step in force for the holder of the rollout lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    step: Option<u64>,
    since: Millis,
    answers: u64,
}

impl Progress {
    /// Returns the next row to write for a rollout, if any.
    ///
    /// `now` is the daemon's monotonic clock, which times the steps; `unix` is the wall clock, to
    /// which the deadline refers.
    pub fn next(
        &mut self,
        now: Millis,
        unix: Millis,
        object: &Object,
        row: Option<&Move>,
        detector: &Detector,
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
        let step_index = row.map_or(0, |row| row.step);
        if row.is_some_and(|row| row.status != Status::Moving) {
            return None;
        }
        if let Some(reason) = veto {
            return write(Status::Undone, step_index, reason);
        }
        if unix + DEADLINE_MARGIN >= object.deadline_unix_ms {
            return write(
                Status::Undone,
                step_index,
                "the deadline came before the last step was over",
            );
        }
        if row.is_none() {
            return write(Status::Moving, 0, "started");
        }
        if self.step != Some(step_index) {
            *self = Self {
                step: Some(step_index),
                since: now,
                answers: detector.answers(),
            };
        }
        let has_time = now - self.since >= object.step_ms;
        let has_evidence = detector.answers() - self.answers >= object.evidence;
        if !has_time || !has_evidence || detector.sum() > VETO_THRESHOLD / 2.0 {
            return None;
        }
        let steps = u64::try_from(object.steps.len()).unwrap_or(u64::MAX);
        if step_index + 1 >= steps {
            write(Status::Done, step_index, "every step passed")
        } else {
            write(Status::Moving, step_index + 1, "the step before passed")
        }
    }
}
