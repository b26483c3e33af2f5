//! Estimates how long work takes at an upstream, relative to the usual time.
//!
//! Upstreams state their pace in answers, and daemons tell each other what they hear: one of many
//! daemons sends an engine a request in ten seconds. An estimate has a lasting part, for engines that
//! are slow for good, and a momentary part, for servers that turn slow for half a second. See
//! `docs/design/pace.md`.

use cactusglade_core::units::Millis;

use crate::allowance::Bounds;

/// Half-life of the weight of the newest stated pace in milliseconds. Application servers change
/// their pace after 600 ms, so one that was stated 300 ms ago holds for half of the time.
const MOMENTARY_HALF_LIFE_MS: f64 = 200.0;
/// Time for which the usual pace counts in the mean before an upstream has stated one, in
/// milliseconds; a server that is slow when it is first heard of is not taken to be so for good.
const PRIOR_SPAN_MS: f64 = 1_000.0;
/// Time over which the mean is formed in milliseconds, some dozens of changes of a server's pace.
const MEMORY_MS: f64 = 20_000.0;
/// Time for which a pace counts that the next statement confirms, in milliseconds. A constant one is
/// stated again within [`REPEAT_INTERVAL`], unless its upstream gets few requests.
const MAX_CONFIRMED_MS: f64 = 5_000.0;
/// Time for which a pace counts that the next statement contradicts, in milliseconds: a slow server
/// gets few requests, so that its recovery is noticed late.
const MAX_CONTRADICTED_MS: f64 = 1_000.0;
/// Least and greatest factor. The least one limits what an upstream draws by a false pace, and the
/// greatest one has it get requests, by which others notice that it has recovered.
const BOUNDS: (f64, f64) = (0.25, 4.0);
/// Ratio of spans above which the mean of another daemon replaces the own one, as after a start.
const ADOPTION_RATIO: f64 = 1.5;
/// Relative difference up to which two stated paces count as the same.
const CHANGE_RATIO: f64 = 0.1;
/// Relative difference from the lasting pace above which a pace is told again soon, since the other
/// daemons return to the lasting one.
const DEVIATION_RATIO: f64 = 0.25;
/// Interval at which a pace that differs from the lasting one is told again.
const DEVIATION_INTERVAL: Millis = Millis(200);
/// Least interval at which a constant pace is told again, for daemons that start.
const REPEAT_INTERVAL: Millis = Millis(3_000);
/// The same interval per upstream in milliseconds: each daemon receives all statements, of about
/// fifteen bytes, and one per 15 ms are 1 KB per second.
const REPEAT_MS_PER_UPSTREAM: u64 = 15;
/// Statements on paces: each daemon receives all, of about fifteen bytes, at most 2 KB per second.
pub const STATEMENTS: Bounds = Bounds {
    per_s: 140.0,
    burst: 20.0,
};
/// Quantile of measured times that counts as the time to read a prompt. Waits lengthen some of them, and
/// others are short since more of the prompt was cached than the daemon knew; in trials with the model,
/// the 0.3 quantile gave twice the true speed.
const QUANTILE: f64 = 0.5;
/// Step of the first sample on the logarithm of a time; that of a later one falls with the root of
/// their number. A factor of 1.7 is learned from about ten samples.
const FIRST_STEP: f64 = 0.3;
/// Least step, so that a change of speed is followed within a minute at a sample per second.
const LEAST_STEP: f64 = 0.03;
/// Samples of a service after which its typical speed is known well enough to compare upstreams.
const KNOWN_COUNT: u32 = 20;
/// Least uncached tokens of a prompt whose time shows the speed: reading them takes 35 ms or more, which
/// is longer than what else happens before the first event.
const LEAST_TOKENS: u64 = 4_000;
/// Age from which a stated pace no longer counts. A constant one is told again within two minutes in
/// the largest fleet; a false statement about an upstream that states none must end.
const MAX_STATEMENT_AGE: Millis = Millis(300_000);
/// Usual time to the first event of a request whose prompt is cached.
pub const FIRST_EVENT: Millis = Millis(20);
/// Least time to the first event, which is not counted as reading.
const LEAST_FIRST_EVENT: Millis = Millis(12);
/// Interval at which a daemon tells others a measured time.
pub const MEASURED_INTERVAL: Millis = Millis(1_000);
const PERCENT: f64 = 100.0;

/// Returns a factor in percent.
#[must_use]
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn percent(factor: f64) -> u64 {
    (factor * PERCENT).round() as u64
}

/// Returns the factor of a percentage, within bounds.
#[allow(clippy::cast_precision_loss)]
fn factor(percent: u64) -> f64 {
    let (least, greatest) = BOUNDS;
    (percent as f64 / PERCENT).clamp(least, greatest)
}

/// Returns whether two factors differ by more than a ratio.
fn differ(one: f64, other: f64, ratio: f64) -> bool {
    one > other * (1.0 + ratio) || other > one * (1.0 + ratio)
}

/// `Mean` is the mean of stated paces and the time over which it was formed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// Factor on the usual time.
    pub factor: f64,
    /// Time in milliseconds.
    pub span: f64,
}

/// `Estimate` is the expected time for work at one upstream relative to the usual time.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    newest: Option<(f64, Millis)>,
    lasting: Mean,
    /// Logarithm of the time to read prompts relative to the service's typical time, where it was
    /// measured.
    measured: Quantile,
    /// The pace of which daemons were last told, by this one or another, and when.
    told: Option<(f64, Millis)>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            newest: None,
            lasting: Mean {
                factor: 1.0,
                span: PRIOR_SPAN_MS,
            },
            measured: Quantile::default(),
            told: None,
        }
    }
}

impl Estimate {
    /// Records a pace that the upstream stated at some time; returns whether that is news.
    pub fn record(&mut self, percent: u64, at: Millis) -> bool {
        let stated = factor(percent);
        if let Some((before, since)) = self.newest {
            if at < since {
                return false;
            }
            self.count(before, since, stated, at);
        }
        self.newest = Some((stated, at));
        true
    }

    /// Counts a pace for the time until the next statement.
    #[allow(clippy::cast_precision_loss)]
    fn count(&mut self, pace: f64, since: Millis, next: f64, at: Millis) {
        let most = if differ(pace, next, CHANGE_RATIO) {
            MAX_CONTRADICTED_MS
        } else {
            MAX_CONFIRMED_MS
        };
        let span = ((at - since).0 as f64).min(most);
        let lasting = &mut self.lasting;
        lasting.factor += (pace - lasting.factor) * span / (lasting.span + span);
        lasting.span = (lasting.span + span).min(MEMORY_MS);
    }

    /// Records what another daemon tells: the pace that the upstream stated at some time, and the
    /// mean of those before.
    #[allow(clippy::cast_precision_loss)]
    pub fn learn(&mut self, now: Millis, percent: u64, at: Millis, lasting: u64, span: Millis) {
        let span = (span.0 as f64).min(MEMORY_MS);
        if span > self.lasting.span * ADOPTION_RATIO {
            self.lasting = Mean {
                factor: factor(lasting),
                span,
            };
        }
        if self.record(percent, at) {
            self.told = Some((factor(percent), now));
        }
    }

    /// Returns whether other daemons are to be told the newest pace: none was told, it has changed, it
    /// differs from the lasting one, or it is told again for daemons that start.
    ///
    /// `repeat_delay_share` from 0 to 1 lengthens the last interval. It differs between daemons, so that most
    /// hear of a repetition before they would make it.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn is_due(&self, now: Millis, upstreams: usize, repeat_delay_share: f64) -> bool {
        let Some((newest, _)) = self.newest else {
            return false;
        };
        let Some((told, at)) = self.told else {
            return true;
        };
        let age = now - at;
        let per_upstream = REPEAT_MS_PER_UPSTREAM * upstreams as u64;
        let repeat = REPEAT_INTERVAL.max(Millis(per_upstream));
        let repeat = repeat + Millis((repeat.0 as f64 * repeat_delay_share) as u64);
        differ(newest, told, CHANGE_RATIO)
            || age >= repeat
            || age >= DEVIATION_INTERVAL && differ(newest, self.lasting.factor, DEVIATION_RATIO)
    }

    /// Returns the newest pace, when it was stated, and the mean, to tell other daemons.
    pub fn tell(&mut self, now: Millis) -> Option<(f64, Millis, Mean)> {
        let (newest, at) = self.newest?;
        self.told = Some((newest, now));
        Some((newest, at, self.lasting))
    }

    /// Returns whether the upstream has stated a pace lately.
    #[must_use]
    pub fn is_stated(&self, now: Millis) -> bool {
        self.stated(now).is_some()
    }

    /// Returns the newest stated pace and its time, unless that is long ago.
    fn stated(&self, now: Millis) -> Option<(f64, Millis)> {
        self.newest.filter(|(_, at)| now - *at < MAX_STATEMENT_AGE)
    }

    /// Records a measured time to read a prompt relative to the service's typical time. It counts
    /// while the upstream states no pace.
    pub fn measure(&mut self, ratio: f64) {
        self.measured.record(ratio.ln());
    }

    /// Forgets the measured times.
    pub fn forget_measured(&mut self) {
        self.measured = Quantile::default();
    }

    /// Returns whether anything is known of the upstream's pace.
    #[must_use]
    pub fn is_known(&self, now: Millis) -> bool {
        self.is_stated(now) || self.measured.count > 0
    }

    /// Returns the expected time for work relative to the usual time, 1 if nothing is known.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn factor(&self, now: Millis) -> f64 {
        let Some((newest, at)) = self.stated(now) else {
            let (least, greatest) = BOUNDS;
            return self.measured.value.exp().clamp(least, greatest);
        };
        let weight = (-((now - at).0 as f64) / MOMENTARY_HALF_LIFE_MS).exp2();
        self.lasting.factor + (newest - self.lasting.factor) * weight
    }
}

/// `Quantile` follows a quantile of a sequence of numbers; a few samples that are far off hardly move
/// it.
#[derive(Clone, Copy, Debug, Default)]
struct Quantile {
    value: f64,
    count: u32,
}

impl Quantile {
    fn record(&mut self, sample: f64) {
        self.count = self.count.saturating_add(1);
        let step = (FIRST_STEP / f64::from(self.count).sqrt()).max(LEAST_STEP);
        if sample > self.value {
            self.value += step * QUANTILE;
        } else if sample < self.value {
            self.value -= step * (1.0 - QUANTILE);
        }
    }
}

/// `Speed` is the typical speed at which a service's upstreams read prompts.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Speed before any was measured, in tokens per millisecond.
    initial: f64,
    /// Logarithm of the time per token relative to the initial one.
    time: Quantile,
}

impl Speed {
    /// Creates the estimate from the speed that is assumed at first, in tokens per millisecond.
    #[must_use]
    pub fn new(initial: f64) -> Self {
        Self {
            initial,
            time: Quantile::default(),
        }
    }

    /// Records the time that an upstream of usual pace took per token, in milliseconds; returns its
    /// ratio to the typical time, once that is known.
    pub fn record(&mut self, token_ms: f64) -> Option<f64> {
        let typical = 1.0 / self.tokens_per_ms();
        let (least, greatest) = BOUNDS;
        let sample = (token_ms * self.initial).clamp(least, greatest);
        self.time.record(sample.ln());
        let ratio = (token_ms / typical).clamp(least, greatest);
        (self.time.count > KNOWN_COUNT).then_some(ratio)
    }

    /// Returns the typical speed in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        let (least, greatest) = BOUNDS;
        self.initial / self.time.value.exp().clamp(least, greatest)
    }
}

/// Returns the time per token of a prompt in milliseconds, by the time to the first event; `None` for
/// a prompt so short that other work takes most of the time.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn token_ms(uncached: u64, latency: Millis) -> Option<f64> {
    let time = (latency - LEAST_FIRST_EVENT).0.max(1) as f64;
    (uncached >= LEAST_TOKENS).then_some(time / uncached as f64)
}
