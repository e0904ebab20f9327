//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A VM that cannot reach the home runs the call itself.
    RunWithoutHome,
    /// Calls that were told not run are forgotten.
    ForgetRefused,
    /// The next successor is asked although the last one may have taken over.
    SecondSuccessor,
    /// A claim without an answer counts as granted.
    AssumeClaimGranted,
    /// A call of unknown fate is told not run.
    ReportDoubtAsNotRun,
    /// A home forgets its keys, and takes them for new ones.
    ForgetKeys,
}
