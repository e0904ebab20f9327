//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The origin believes a home that does not know of earlier dispatches.
    IgnoreEarlierRuns,
    /// A home keeps the calls of an origin that is silent for good.
    KeepExpiredOrigins,
    /// A home that does not answer is followed for ever.
    NeverSuspect,
    /// A call that moves to another home is not released at the old one.
    SkipRelease,
}
