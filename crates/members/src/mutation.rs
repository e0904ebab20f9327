//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into [`Core`](crate::Core).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A member is suspected without a confirmation, and no peer is asked for one.
    SuspectUnconfirmed,
    /// A leaving VM does not announce it in its heartbeats.
    LeaveSilently,
    /// No member is ever suspected.
    NeverSuspect,
}
