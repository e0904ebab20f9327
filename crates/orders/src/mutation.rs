//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into [`Core`](crate::Core).
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
