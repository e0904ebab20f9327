//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into [`Drain`](crate::Drain).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The process exits without waiting for calls in flight.
    CutInFlight,
}
