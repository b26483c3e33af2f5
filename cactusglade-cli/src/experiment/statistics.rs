//! Means with confidence intervals.

use serde::Serialize;

/// Two-sided 95% quantiles of Student's t distribution, by degrees of freedom from one on.
const T_QUANTILES: [f64; 10] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
];
/// Quantile for more degrees of freedom.
const NORMAL_QUANTILE: f64 = 1.96;

/// `Estimate` is the mean of some observations and the half width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Half width of the interval; `None` for a single observation.
    pub half_width: Option<f64>,
}

impl Estimate {
    /// Estimates the mean of independent observations.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn new(observations: &[f64]) -> Self {
        let count = observations.len() as f64;
        let mean = observations.iter().sum::<f64>() / count.max(1.0);
        let half_width = observations.len().checked_sub(2).map(|index| {
            let squares = observations.iter().map(|value| (value - mean).powi(2));
            let deviation = (squares.sum::<f64>() / (count - 1.0)).sqrt();
            let quantile = T_QUANTILES.get(index).copied().unwrap_or(NORMAL_QUANTILE);
            quantile * deviation / count.sqrt()
        });
        Self { mean, half_width }
    }

    /// Returns whether the interval excludes zero.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.half_width
            .is_some_and(|half_width| self.mean.abs() > half_width)
    }
}

impl std::fmt::Display for Estimate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.half_width {
            Some(half_width) => write!(formatter, "{:.4} ± {half_width:.4}", self.mean),
            None => write!(formatter, "{:.4}", self.mean),
        }
    }
}
