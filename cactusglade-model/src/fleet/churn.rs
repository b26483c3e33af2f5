//! Reclaims engines a zone at a time, and replaces them.

use cactusglade_core::fleet::Change;
use cactusglade_policy::broker::Strategy;
use rand::Rng;

use super::Event;
use super::Model;
use super::setup;
use crate::engine::Engine;

/// Shortest life of an engine whose requests per second are compared, in milliseconds; those of a
/// shorter one are mostly chance.
const MIN_LIFE_MS: f64 = 10_000.0;
/// Longest time until a daemon learns of a change of the registry, in milliseconds.
const MAX_NOTICE_MS: f64 = 300.0;

/// `Churn` says when zones are reclaimed.
#[derive(Clone, Copy, Debug)]
pub struct Churn {
    /// First reclaim, in milliseconds.
    pub first_ms: f64,
    /// Interval of the reclaims, each of the next zone, in milliseconds.
    pub interval_ms: f64,
    /// Number of reclaims.
    pub reclaims: usize,
    /// Time until an engine is replaced, in milliseconds.
    pub boot_ms: f64,
}

impl<R: Strategy> Model<'_, R> {
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn schedule_reclaims(&mut self) {
        let Some(churn) = self.options.churn else {
            return;
        };
        for index in 0..churn.reclaims {
            let at = churn.first_ms + churn.interval_ms * index as f64;
            self.schedule(at, Event::Reclaim(index % self.options.zones.max(1)));
        }
    }

    /// Takes the engines of a zone out; they finish the requests that they have.
    pub(super) fn reclaim(&mut self, now: f64, zone: usize) {
        let Some(churn) = self.options.churn else {
            return;
        };
        let zones = self.options.zones.max(1);
        let is_reclaimed = |index: &usize| index % zones == zone && self.lives[*index].1.is_none();
        let engines = (0..self.engines.len()).filter(is_reclaimed);
        let engines = engines.collect::<Vec<_>>();
        for engine in &engines {
            self.lives[*engine].1 = Some(now);
        }
        let names = engines.iter().map(|engine| setup::engine_name(*engine));
        let changes = names.map(Change::Removed).collect::<Vec<_>>();
        self.announce(now, &changes);
        self.schedule(now + churn.boot_ms, Event::Replace(engines));
    }

    /// Adds an engine with an empty cache and a new name for each reclaimed one, in the same zone.
    pub(super) fn replace(&mut self, now: f64, engines: Vec<usize>) {
        let zones = self.options.zones.max(1);
        let mut changes = Vec::new();
        for engine in engines {
            let mut index = self.engines.len();
            // The zone follows from the index, so that indices between are left unused.
            while index % zones != engine % zones {
                let mut unused = Engine::new(self.options.profile);
                unused.is_dark = true;
                self.engines.push(unused);
                self.lives.push((now, Some(now)));
                index += 1;
            }
            self.engines.push(Engine::new(self.options.profile));
            self.lives.push((now, None));
            changes.push(setup::entry(self.options, index));
        }
        self.announce(now, &changes);
    }

    /// Tells each daemon of changes, each at another moment.
    fn announce(&mut self, now: f64, changes: &[Change]) {
        for daemon in 0..self.brokers.len() {
            let notice = self.churn_random.random_range(0.0..MAX_NOTICE_MS);
            let changes = changes.to_vec();
            self.schedule(now + notice, Event::Learn { daemon, changes });
        }
    }

    /// Returns the requests per second of life at the busiest engine over the mean.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn imbalance(&self) -> f64 {
        let end = self.options.span_ms;
        let engines = self.engines.iter().zip(&self.lives);
        let lives = engines.map(|(engine, (from, to))| {
            let life = to.unwrap_or(end) - from;
            (engine.accepted as f64, life)
        });
        let lives = lives.collect::<Vec<_>>();
        let total = lives.iter().map(|(accepted, _)| accepted).sum::<f64>();
        let mean = total / lives.iter().map(|(_, life)| life).sum::<f64>().max(1.0);
        let rates = lives.iter().filter(|(_, life)| *life >= MIN_LIFE_MS);
        let rates = rates.map(|(accepted, life)| accepted / life);
        rates.fold(0.0, f64::max) / mean.max(f64::EPSILON)
    }
}
