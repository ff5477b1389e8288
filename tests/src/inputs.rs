//! Inputs for fuzz tests of decoders, drawn by bolero's generators from fixed seeds.
//!
//! The test engine of bolero draws its inputs from the random source of the system and replays only
//! one input from `BOLERO_RANDOM_SEED`, so its result may differ between runs. Here each input has
//! its own seed, which is the same in every run. `BAMBOOSEAM_INPUT_ITERATIONS` sets the number of
//! inputs that each test draws.

use std::fmt::Debug;

use bolero::bolero_engine::rng::Recommended;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{ValueGenerator, produce};
use rand::SeedableRng;

/// Seed of the first input; each further input uses the next higher seed.
const SEED: u64 = 20_261_203;

/// Number of inputs of each test unless the environment sets another one.
const ITERATIONS: u64 = 3_000;

/// Largest number of random bytes from which one input is drawn.
const ENTROPY_LIMIT: usize = 64 << 10;

/// Number of inputs that each test draws.
pub fn iterations() -> u64 {
    let text = std::env::var("BAMBOOSEAM_INPUT_ITERATIONS").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(ITERATIONS)
}

/// Runs `test` on byte strings of at most `limit` bytes.
///
/// The maximum length cycles through 1, 1/4, 1/16 and 1/64 of `limit`, so that short inputs are as
/// frequent as long ones.
pub fn for_each_bytes(limit: usize, test: impl FnMut(&[u8])) {
    for_many_bytes(iterations(), limit, test);
}

/// Runs `test` on `count` byte strings, as [`for_each_bytes`] does.
pub fn for_many_bytes(count: u64, limit: usize, mut test: impl FnMut(&[u8])) {
    for index in 0..count {
        let max_len = limit >> (2 * (index % 4));
        let generator = produce::<Vec<u8>>().with().len(0..=max_len);
        run(&generator, SEED + index, &mut |bytes: &Vec<u8>| test(bytes));
    }
}

/// Runs `test` on inputs that `generator` draws.
pub fn for_each_input<G>(generator: &G, mut test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    for index in 0..iterations() {
        run(generator, SEED + index, &mut test);
    }
}

/// Runs `test` on the input of one seed and prints the input if the test panics.
fn run<G>(generator: &G, seed: u64, test: &mut impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    let options = Options::default().with_max_len(ENTROPY_LIMIT);
    let mut driver = Rng::new(Recommended::seed_from_u64(seed), &options);
    let Some(input) = generator.generate(&mut driver) else {
        return;
    };
    let report = FailureReport {
        seed,
        input: &input,
    };
    test(&input);
    drop(report);
}

/// Prints the seed and the input on drop during a panic.
struct FailureReport<'a, T: Debug> {
    seed: u64,
    input: &'a T,
}

impl<T: Debug> Drop for FailureReport<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed={} input={:?}", self.seed, self.input);
        }
    }
}
