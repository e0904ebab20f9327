//! Runs a random sequence of steps against a world, with a fixed seed.

use core::fmt::Debug;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use std::sync::atomic::Ordering;

/// Environment variable with the number of cases of a longer run.
const CASES_VARIABLE: &str = "POPLARSWITCH_FUZZ_CASES";
/// Environment variable with the seed of a longer run.
const SEED_VARIABLE: &str = "POPLARSWITCH_FUZZ_SEED";

/// Attempts that are made even if the shortest sequence does not matter; the library needs one.
const UNSHRUNK: u32 = 2;

/// A world that takes steps and finds faults.
pub trait World<S> {
    /// Takes one step; says what is wrong afterwards, if anything.
    fn step(&mut self, step: &S) -> Result<(), String>;

    /// Lets everything settle; says what is wrong afterwards, if anything.
    fn settle(&mut self) -> Result<(), String>;
}

/// How long to search, and from where.
#[derive(Clone, Copy, Debug)]
pub struct Search {
    /// Sequences to try.
    pub cases: u32,
    /// Most steps of one sequence.
    pub steps: usize,
    /// Where the random numbers start.
    pub seed: u64,
    /// Attempts at a shorter sequence once one has failed.
    pub shrink: u32,
}

impl Search {
    /// The environment's number of cases and seed, or those given.
    pub fn from_env(cases: u32, steps: usize, seed: u64) -> Self {
        let read = |name| std::env::var(name).ok();
        let number = |name| read(name).and_then(|text| text.parse().ok());
        Self {
            cases: number(CASES_VARIABLE).map_or(cases, |cases| cases as u32),
            steps,
            seed: number(SEED_VARIABLE).unwrap_or(seed),
            shrink: 400,
        }
    }

    /// The same search without looking for shorter sequences.
    #[must_use]
    pub const fn unshrunk(mut self) -> Self {
        self.shrink = UNSHRUNK;
        self
    }
}

/// Searches for a sequence of steps that a world fails; says the shortest one found.
pub fn search<R, W>(search: Search, start: impl Fn(&R::State) -> W) -> Result<(), String>
where
    R: ReferenceStateMachine,
    R::State: Debug + Clone,
    R::Transition: Debug + Clone,
    W: World<R::Transition>,
{
    let config = Config {
        cases: search.cases,
        failure_persistence: None,
        max_shrink_iters: search.shrink,
        rng_seed: RngSeed::Fixed(search.seed),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let strategy = R::sequential_strategy(1..search.steps);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        let mut world = start(&state);
        for step in &steps {
            if let Some(seen) = &seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            world.step(step).map_err(fail)?;
        }
        world.settle().map_err(fail)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Abort(reason)) => Err(format!("aborted: {reason}")),
        Err(TestError::Fail(reason, (state, steps, _))) => {
            Err(format!("{reason}\nfrom {state:?}\nafter {steps:#?}"))
        }
    }
}

fn fail(message: String) -> proptest::test_runner::TestCaseError {
    proptest::test_runner::TestCaseError::fail(message)
}
