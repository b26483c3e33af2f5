//! Callers: classes of requests whose prompts share parts.

use cactusglade_core::call::Part;
use cactusglade_core::call::Prompt;
use rand::Rng;
use rand::rngs::StdRng;

use crate::fleet::Surge;

/// Identifiers that are left for the parts of one class.
const CLASS_STRIDE: u64 = 1 << 40;

/// Number of the first request that a surge adds.
const FIRST_ADDED: u64 = 1 << 32;

/// Most own tokens of a prompt, as a multiple of their mean: 54,600 prompt tokens at a mean of 6,610
/// own and 5,382 shared ones.
const MAX_OWN_RATIO: f64 = 7.4;

/// `Class` is a kind of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Requests per second over the whole fleet.
    pub per_s: f64,
    /// Tokens at the head of the prompt that all requests of the class share.
    pub common_tokens: u64,
    /// Tokens that the requests of one session share.
    pub session_tokens: u64,
    /// Tokens of the request alone, on average.
    pub own_tokens: u64,
    /// Spread of the request's own tokens: sigma of their logarithm, zero if all are alike.
    pub own_sigma: f64,
    /// Number of sessions.
    pub sessions: u64,
    /// Share of the requests that belong to one session.
    pub hot_share: f64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// Time within which the first token is due, in milliseconds.
    pub target_ms: f64,
}

/// `Arrival` is one request of a caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time in milliseconds.
    pub at: f64,
    /// Index of the class.
    pub class: usize,
    /// Prompt.
    pub prompt: Prompt,
}

impl Class {
    /// Returns the own tokens of a request: log-normal, so that few requests are many times as long
    /// as the mean.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn draw_own_tokens(&self, random: &mut StdRng) -> u64 {
        if self.own_sigma <= 0.0 {
            return self.own_tokens;
        }
        // The Box-Muller transform of two even draws is a normal one.
        let radius = (-2.0 * random.random_range(f64::EPSILON..1.0).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
        let sigma = self.own_sigma;
        let ratio = (sigma.mul_add(normal, -sigma * sigma / 2.0)).exp();
        (self.own_tokens as f64 * ratio.min(MAX_OWN_RATIO)) as u64
    }

    fn prompt(&self, number: u64, class: u64, random: &mut StdRng) -> Prompt {
        let session = if random.random_bool(self.hot_share) {
            0
        } else {
            random.random_range(0..self.sessions)
        };
        let own_tokens = self.draw_own_tokens(random);
        let base = CLASS_STRIDE * (class + 1);
        let part = |id, tokens| Part { id, tokens };
        Prompt {
            input_tokens: self.common_tokens + self.session_tokens + own_tokens,
            max_output_tokens: self.answer_tokens,
            parts: vec![
                part(base, self.common_tokens),
                part(base + 1 + session, self.session_tokens),
                part(base + self.sessions + 1 + number, own_tokens),
            ],
        }
    }
}

/// Returns the requests that a surge adds to those of its class.
#[must_use]
pub fn surge(classes: &[Class], surge: &Surge, random: &mut StdRng) -> Vec<Arrival> {
    let class = &classes[surge.class];
    let per_s = class.per_s * (surge.factor - 1.0);
    let mut arrivals = Vec::new();
    let mut at = surge.from_ms;
    for number in FIRST_ADDED.. {
        at -= random.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / per_s;
        if at >= surge.to_ms {
            break;
        }
        arrivals.push(Arrival {
            at,
            class: surge.class,
            prompt: class.prompt(number, surge.class as u64, random),
        });
    }
    arrivals
}

/// Returns the requests of `span_ms`, in the order of their arrival.
#[must_use]
pub fn arrivals(classes: &[Class], span_ms: f64, random: &mut StdRng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, class) in classes.iter().enumerate() {
        let mut at = 0.0;
        for number in 0.. {
            // Exponential pauses: arrivals of many independent callers.
            at -= random.random_range(f64::EPSILON..1.0).ln() * 1_000.0 / class.per_s;
            if at >= span_ms {
                break;
            }
            arrivals.push(Arrival {
                at,
                class: index,
                prompt: class.prompt(number, index as u64, random),
            });
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    arrivals
}
