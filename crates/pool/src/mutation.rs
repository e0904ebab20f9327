//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into a [`Pool`](crate::Pool).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The origin passes on the refusal of a call although an earlier dispatch may have run.
    IgnoreEarlierRuns,
    /// A home keeps the calls of an origin whose lease has expired.
    KeepExpiredOrigins,
    /// A home that does not reply is never suspected.
    NeverSuspect,
    /// A call that moves to another home is not released at the old one.
    SkipRelease,
}
