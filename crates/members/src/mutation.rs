//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// One silent observer is enough, and what others heard is not asked for.
    SuspectUnconfirmed,
    /// A VM that leaves does not say so.
    LeaveSilently,
    /// Nobody is ever suspected.
    NeverSuspect,
}
