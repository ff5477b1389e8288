//! Inputs for decoders, drawn by bolero's generators from a fixed seed.
//!
//! bolero's own test engine draws its inputs from the system's random source and replays just one
//! from `BOLERO_RANDOM_SEED`, so that its verdict may differ between runs. Here each input has a
//! seed of its own, which is the same in every run. `BAMBOOSEAM_INPUT_ITERATIONS` sets how many
//! inputs each test draws.

use std::fmt::Debug;

use bolero::bolero_engine::rng::Recommended;
use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::generator::{ValueGenerator, produce};
use rand::SeedableRng;

/// Seed of the first input; the next ones count up from it.
const SEED: u64 = 20_261_203;

/// Inputs of each test unless the environment says otherwise.
const ITERATIONS: u64 = 3_000;

/// Most random bytes that one input takes.
const ENTROPY_LIMIT: usize = 64 << 10;

/// Number of inputs that each test draws.
pub fn iterations() -> u64 {
    let given = std::env::var("BAMBOOSEAM_INPUT_ITERATIONS").ok();
    given
        .and_then(|given| given.parse().ok())
        .unwrap_or(ITERATIONS)
}

/// Runs `test` on byte strings of at most `limit` bytes, short ones as often as long ones.
pub fn for_each_bytes(limit: usize, test: impl FnMut(&[u8])) {
    for_many_bytes(iterations(), limit, test);
}

/// Runs `test` on `count` byte strings, as [`for_each_bytes`] does.
pub fn for_many_bytes(count: u64, limit: usize, mut test: impl FnMut(&[u8])) {
    for index in 0..count {
        let most = limit >> (2 * (index % 4));
        let generator = produce::<Vec<u8>>().with().len(0..=most);
        run(&generator, SEED + index, &mut |bytes: &Vec<u8>| test(bytes));
    }
}

/// Runs `test` on inputs of `generator`.
pub fn for_each_input<G>(generator: &G, mut test: impl FnMut(&G::Output))
where
    G: ValueGenerator,
    G::Output: Debug,
{
    for index in 0..iterations() {
        run(generator, SEED + index, &mut test);
    }
}

/// Runs `test` on the input of one seed; a failing one is printed.
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
    let report = Report {
        seed,
        input: &input,
    };
    test(&input);
    drop(report);
}

/// Prints an input when its test panics.
struct Report<'a, T: Debug> {
    seed: u64,
    input: &'a T,
}

impl<T: Debug> Drop for Report<'_, T> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed={} input={:?}", self.seed, self.input);
        }
    }
}
