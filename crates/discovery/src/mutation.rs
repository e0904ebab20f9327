//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into the drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The process ends without waiting for calls in flight.
    CutInFlight,
}
