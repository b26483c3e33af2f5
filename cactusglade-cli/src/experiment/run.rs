//! Plays an experiment with several seeds.

use std::collections::BTreeMap;

use cactusglade_model::fleet;
use cactusglade_model::fleet::Summary;
use serde::Serialize;

use super::Estimate;
use super::Settings;

/// Figures of one play, by name.
type Figures = BTreeMap<String, f64>;

/// `Run` holds the figures of an experiment for each seed.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    seeds: Vec<u64>,
    figures: Vec<Figures>,
}

/// `Comparison` holds the estimated figures of two experiments and of their difference, seed by
/// seed.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Estimates of the first experiment, of the second, and of second less first, by figure.
    pub figures: BTreeMap<String, [Estimate; 3]>,
}

impl Run {
    /// Plays the experiment once with each seed from one to `seeds`.
    ///
    /// # Errors
    ///
    /// Fails if the settings do not make a valid catalog.
    pub fn try_new(settings: &Settings, seeds: u64) -> fleet::Result<Self> {
        let seeds = (1..=seeds).collect::<Vec<_>>();
        let plays = seeds.iter().map(|seed| {
            let summary = fleet::play(&settings.options(*seed))?;
            Ok(figures(&summary))
        });
        let figures = plays.collect::<fleet::Result<Vec<_>>>()?;
        Ok(Self { seeds, figures })
    }

    /// Returns the mean of each figure over the seeds.
    #[must_use]
    pub fn estimates(&self) -> BTreeMap<String, Estimate> {
        let names = self.figures.first().map(BTreeMap::keys);
        let names = names.into_iter().flatten();
        names
            .map(|name| (name.clone(), Estimate::new(&self.values(name))))
            .collect()
    }

    fn values(&self, name: &str) -> Vec<f64> {
        let figures = self.figures.iter();
        figures
            .map(|figures| figures.get(name).copied().unwrap_or_default())
            .collect()
    }

    /// Compares the figures that both runs have; `other` was played with the same seeds.
    #[must_use]
    pub fn compare(&self, other: &Self) -> Comparison {
        let (own, others) = (self.estimates(), other.estimates());
        let common = own.iter().filter_map(|(name, estimate)| {
            let second = others.get(name)?;
            let pairs = self.values(name).into_iter().zip(other.values(name));
            let differences = pairs.map(|(first, second)| second - first);
            let difference = Estimate::new(&differences.collect::<Vec<_>>());
            Some((name.clone(), [*estimate, *second, difference]))
        });
        Comparison {
            figures: common.collect(),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn figures(summary: &Summary) -> Figures {
    let mut figures = Figures::new();
    for (name, outcome) in &summary.classes {
        figures.insert(format!("{name}: on time"), outcome.on_time_share());
        figures.insert(format!("{name}: p50 ms"), outcome.latency(0.5));
        figures.insert(format!("{name}: p99 ms"), outcome.latency(0.99));
    }
    figures.insert("cached share".to_owned(), summary.cached_share());
    figures.insert("busiest/mean".to_owned(), summary.imbalance);
    figures.insert("lost attempts".to_owned(), summary.losses as f64);
    figures
}
