//! Search for sequences of random steps that make a simulation fail, from a fixed seed.

use core::fmt::Debug;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use std::sync::atomic::Ordering;

/// Environment variable that sets the number of cases, for longer runs.
const CASES_VARIABLE: &str = "POPLARSWITCH_FUZZ_CASES";
/// Environment variable that sets the seed, for longer runs.
const SEED_VARIABLE: &str = "POPLARSWITCH_FUZZ_SEED";

/// Shrinking attempts if the shortest sequence is not needed; the library needs at least one.
const MIN_SHRINK_ITERS: u32 = 2;

/// A simulation that carries out steps and checks properties.
pub trait Simulation<S> {
    /// Carries out one step; the error describes a violated property.
    fn step(&mut self, step: &S) -> Result<(), String>;

    /// Ends the faults and lets the nodes settle; the error describes a violated property.
    fn settle(&mut self) -> Result<(), String>;
}

/// Extent and seed of a search.
#[derive(Clone, Copy, Debug)]
pub struct SearchConfig {
    /// Number of sequences.
    pub cases: u32,
    /// Upper bound of the steps of a sequence, exclusive.
    pub max_steps: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Maximum number of attempts to shorten a failing sequence.
    pub shrink_limit: u32,
}

impl SearchConfig {
    /// The number of cases and the seed from the environment, or else those given.
    pub fn from_env(cases: u32, max_steps: usize, seed: u64) -> Self {
        let read = |name| std::env::var(name).ok();
        let number = |name| read(name).and_then(|text| text.parse().ok());
        Self {
            cases: number(CASES_VARIABLE).map_or(cases, |cases| cases as u32),
            max_steps,
            seed: number(SEED_VARIABLE).unwrap_or(seed),
            shrink_limit: 400,
        }
    }

    /// The same search without the shortening of failing sequences.
    #[must_use]
    pub const fn without_shrinking(mut self) -> Self {
        self.shrink_limit = MIN_SHRINK_ITERS;
        self
    }
}

/// Searches for a sequence of steps that makes a simulation fail.
///
/// The error holds the violated property, the initial state and the shortest sequence found.
pub fn search<R, W>(search: SearchConfig, start: impl Fn(&R::State) -> W) -> Result<(), String>
where
    R: ReferenceStateMachine,
    R::State: Debug + Clone,
    R::Transition: Debug + Clone,
    W: Simulation<R::Transition>,
{
    let config = Config {
        cases: search.cases,
        failure_persistence: None,
        max_shrink_iters: search.shrink_limit,
        rng_seed: RngSeed::Fixed(search.seed),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = R::sequential_strategy(1..search.max_steps);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        let mut sim = start(&state);
        for step in &steps {
            // Shrinking first removes the steps that were not reached, which proptest knows from
            // this counter.
            if let Some(seen) = &seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            sim.step(step).map_err(failure)?;
        }
        sim.settle().map_err(failure)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Abort(reason)) => Err(format!("aborted: {reason}")),
        Err(TestError::Fail(reason, (state, steps, _))) => {
            Err(format!("{reason}\nfrom {state:?}\nafter {steps:#?}"))
        }
    }
}

fn failure(message: String) -> proptest::test_runner::TestCaseError {
    proptest::test_runner::TestCaseError::fail(message)
}
