//! Runs random steps against a system under test and its oracle, with fixed seeds.

use crate::{call_oracle::CallOracle, mutation::Mutation};
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use proptest_state_machine::ReferenceStateMachine;
use std::{env, sync::atomic::Ordering};

/// Environment variable that sets the number of cases, for longer runs.
pub const CASES_VARIABLE: &str = "POPLARSWITCH_FUZZ_CASES";
/// Upper bound of the steps of a case, exclusive.
const MAX_STEPS: usize = 120;

/// Code under test with its oracle.
pub trait SystemUnderTest {
    /// State machine that generates the steps.
    type Machine: ReferenceStateMachine;

    /// Starts the system, with a deliberate fault if one is given.
    fn start(mutation: Option<Mutation>) -> Self;

    /// Carries out one step.
    fn step(&mut self, step: &<Self::Machine as ReferenceStateMachine>::Transition);

    /// Ends all dispatches and faults, and checks that every call ends.
    fn finish(&mut self);

    /// The oracle.
    fn oracle(&self) -> &CallOracle;

    /// Number of calls that the code under test still holds.
    fn held_calls(&self) -> usize;
}

/// The number of cases from the environment, or else `default`.
pub fn case_count(default: u32) -> u32 {
    let value = env::var(CASES_VARIABLE).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Searches for a case that violates a property.
///
/// The error describes the violation and the steps after shrinking.
pub fn find_violation<S: SystemUnderTest>(
    seed: u64,
    cases: u32,
    mutation: Option<Mutation>,
    shrink_limit: u32,
) -> Result<(), String> {
    let config = Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        max_shrink_iters: shrink_limit,
        ..Config::default()
    };
    let strategy = S::Machine::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config).run(&strategy, |(_, steps, seen)| {
        let mut system = S::start(mutation);
        for step in &steps {
            // Shrinking first removes the steps that were not reached, which proptest knows from
            // this counter.
            if let Some(seen) = &seen {
                seen.fetch_add(1, Ordering::SeqCst);
            }
            system.step(step);
            check_oracle(&system)?;
        }
        system.finish();
        check_oracle(&system)?;
        let held = system.held_calls();
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

fn check_oracle(system: &impl SystemUnderTest) -> Result<(), TestCaseError> {
    match &system.oracle().violation {
        Some(violation) => Err(TestCaseError::fail(format!("{violation:?}"))),
        None => Ok(()),
    }
}
