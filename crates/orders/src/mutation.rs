//! Deliberate faults with which tests verify that the fuzzers detect them.

/// A deliberate fault in the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The minimum number of ready replicas is ignored.
    IgnoreMinReady,
    /// An expired lease counts as held.
    KeepExpired,
    /// Orders are sent until the lease expires, and immediately by a new holder, even to engines
    /// that do not check fencing numbers.
    NoMargin,
    /// Replicas that an earlier holder may still change are counted as ready.
    NoSeal,
}
