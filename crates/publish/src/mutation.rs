//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into a publisher or a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The head is replaced whatever it is.
    UnconditionalUpdate,
    /// A write without an answer counts as done.
    AssumeWritten,
    /// A write without an answer is repeated on top of whatever the head is now.
    RetryOnNewHead,
    /// A release is believed even if it is older.
    AcceptOlder,
    /// News of a release is not passed on, and the platform's is not read.
    IgnoreReleases,
}
