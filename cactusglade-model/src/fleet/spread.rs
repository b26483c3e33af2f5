//! How evenly requests are spread: noise of the engines, and comparisons of their loads.

use cactusglade_core::call::Part;
use cactusglade_policy::broker::Strategy;
use cactusglade_policy::estimate::Tuning;
use rand::Rng;

use super::Event;
use super::Model;
use super::Rule;
use super::Silence;

/// Interval at which the loads of the engines are compared, in milliseconds.
const WINDOW_MS: f64 = 100.0;

/// `Noise` makes some engines slow, others after each period.
#[derive(Clone, Copy, Debug)]
pub struct Noise {
    /// Share of the engines that are slow.
    pub share: f64,
    /// Factor of their times.
    pub factor: f64,
    /// Time after which others are slow, in milliseconds.
    pub period_ms: f64,
}

/// `Spread` is how upstreams are chosen and how their speeds vary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Rule of the choice.
    pub rule: Rule,
    /// How the parts of an estimate are weighed.
    pub tuning: Tuning,
    /// Slow engines, if any.
    pub noise: Option<Noise>,
    /// Time that a request takes in milliseconds, where requests have no prompts.
    pub work_ms: Option<f64>,
    /// Whether an answer states the load at its beginning, and not that at the arrival of its
    /// request.
    pub states_at_answer: bool,
    /// What daemons do about an engine that has not begun to answer.
    pub silence: Silence,
}

impl<R: Strategy> Model<'_, R> {
    /// Selects the engines that are slow for the next period.
    pub(super) fn redraw_slow(&mut self, now: f64) {
        let Some(noise) = self.options.spread.noise else {
            return;
        };
        for engine in &mut self.engines {
            let is_slow = self.random.random_bool(noise.share);
            engine.stretch = if is_slow { noise.factor } else { 1.0 };
        }
        if now < self.options.span_ms {
            self.schedule(now + noise.period_ms, Event::RedrawSlow);
        }
    }

    /// Records how much the loads of the engines differ.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn compare(&mut self, now: f64) {
        let loads = self.engines.iter().map(|engine| engine.load(now) as f64);
        let count = self.engines.len().max(1) as f64;
        let mean = loads.clone().sum::<f64>() / count;
        let variance = loads.map(|load| (load - mean).powi(2)).sum::<f64>() / count;
        self.summary.deviations.push(variance.sqrt());
        let ejected = self.ejected(now);
        self.summary.ejected.push((now, ejected));
        if now < self.options.span_ms {
            self.schedule(now + WINDOW_MS, Event::Compare);
        }
    }

    /// Returns whether another engine has a free slot and as much of the prompt.
    pub(super) fn has_other_room(&self, now: f64, engine: usize, parts: &[Part]) -> bool {
        let cached = self.engines[engine].cached(parts);
        let mut others = self.engines.iter().enumerate();
        others.any(|(index, other)| {
            index != engine && other.has_room(now) && other.cached(parts) >= cached
        })
    }
}
