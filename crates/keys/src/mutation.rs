//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into [`Core`](crate::Core).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A VM without a link to the home VM runs the call itself.
    RunWithoutHome,
    /// A call that was refused may run if it is submitted again.
    ForgetRefused,
    /// After a commit without a confirmation the keys are offered to another successor.
    SecondSuccessor,
    /// A claim whose reply was lost counts as granted.
    AssumeClaimGranted,
    /// A forwarded call without an outcome is reported as not run instead of in doubt.
    ReportDoubtAsNotRun,
    /// A home VM drops keys within their retention and runs them again as new ones.
    ForgetKeys,
}
