//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The replicas that have to stay ready are not counted.
    IgnoreMinReady,
    /// A lease that has lapsed counts as held.
    KeepExpired,
    /// Engines that ignore numbers get orders up to the last moment of the lease, and at once
    /// from a new holder.
    NoMargin,
    /// Replicas are relied on that an earlier holder may still change.
    NoSeal,
}
