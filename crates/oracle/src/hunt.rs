//! Runs a state machine against the oracle, with fixed seeds.

use crate::{judge::Judge, mutation::Mutation};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use std::{env, sync::atomic::Ordering};

/// Environment variable that sets the number of cases, for a longer run.
pub const CASES_VARIABLE: &str = "POPLARSWITCH_FUZZ_CASES";
/// Most steps of a case.
const MAX_STEPS: usize = 120;

/// Code under test together with its oracle.
pub trait Bench {
    /// The steps that it is put through.
    type Machine: ReferenceStateMachine;

    /// Starts, with a deliberate fault or without.
    fn start(mutation: Option<Mutation>) -> Self;

    /// Does one step.
    fn step(&mut self, step: &<Self::Machine as ReferenceStateMachine>::Transition);

    /// Ends everything and checks that nothing is left.
    fn finish(&mut self);

    /// The oracle.
    fn judge(&self) -> &Judge;

    /// Calls that the code under test still holds.
    fn held(&self) -> usize;
}

/// The number of cases: the one asked for, or more by the environment.
pub fn cases(usual: u32) -> u32 {
    let more = env::var(CASES_VARIABLE).ok();
    more.and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Looks for a case that breaks a rule; returns its shortest form as text.
pub fn hunt<B: Bench>(
    seed: u64,
    cases: u32,
    mutation: Option<Mutation>,
    shrinks: u32,
) -> Result<(), String> {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: shrinks,
        ..Config::default()
    };
    let strategy = B::Machine::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
        let mut bench = B::start(mutation);
        for step in &steps {
            // Shrinking starts by dropping the steps that were not reached.
            if let Some(seen) = &seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            bench.step(step);
            verdict(&bench)?;
        }
        bench.finish();
        verdict(&bench)?;
        let held = bench.held();
        if held > 0 {
            return Err(TestCaseError::fail(format!("{held} calls are still held")));
        }
        Ok(())
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, (_, steps, _))) => Err(format!("{reason}: {steps:?}")),
        Err(TestError::Abort(reason)) => Err(format!("aborted: {reason}")),
    }
}

fn verdict(bench: &impl Bench) -> Result<(), TestCaseError> {
    match &bench.judge().violation {
        Some(violation) => Err(TestCaseError::fail(format!("{violation:?}"))),
        None => Ok(()),
    }
}
