//! Runs a test on generated inputs that all follow from one seed.
//!
//! bolero's own engine uses a given seed for the first input only and draws the others from the
//! operating system, so that a test which fails on rare inputs passes in some runs.

use std::fmt::Debug;
use std::panic::AssertUnwindSafe;

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Environment variable with the seed: a number, or [`FRESH`].
pub const SEED_VARIABLE: &str = "CACTUSGLADE_CHECK_SEED";
/// Value of [`SEED_VARIABLE`] that draws a seed from the operating system.
pub const FRESH: &str = "fresh";
/// Seed where [`SEED_VARIABLE`] is not set.
const DEFAULT_SEED: u64 = 1;
/// Maximum number of random bytes in one input.
const MAX_INPUT_BYTES: usize = 4_096;

/// Runs `test` on `iterations` inputs.
///
/// # Panics
///
/// Panics as the test does, after printing the input and the seed that repeats the failure, and if
/// [`SEED_VARIABLE`] is set to something else than a number or [`FRESH`].
pub fn run<T: Debug + TypeGenerator>(iterations: u64, test: impl Fn(&T)) {
    let seed = seed();
    let mut random = StdRng::seed_from_u64(seed);
    for iteration in 0..iterations {
        let Some(input) = generate::<T>(&mut random) else {
            continue;
        };
        let result = std::panic::catch_unwind(AssertUnwindSafe(|| test(&input)));
        if let Err(failure) = result {
            eprintln!("input {iteration} failed: {input:?}");
            eprintln!("{SEED_VARIABLE}={seed} repeats it");
            std::panic::resume_unwind(failure);
        }
    }
}

/// Generates one input; `None` where the generator rejects the random bytes.
fn generate<T: TypeGenerator>(random: &mut StdRng) -> Option<T> {
    let options = Options::default().with_max_len(MAX_INPUT_BYTES);
    T::generate(&mut Rng::new(random, &options))
}

fn seed() -> u64 {
    match std::env::var(SEED_VARIABLE) {
        Err(_) => DEFAULT_SEED,
        Ok(text) if text == FRESH => rand::random(),
        Ok(text) => text.parse().unwrap_or_else(|_| {
            panic!("{SEED_VARIABLE} is {text:?}, expected a number or {FRESH}")
        }),
    }
}
