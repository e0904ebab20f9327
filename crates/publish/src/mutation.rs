//! Faults that tests inject to show that fuzzing finds them.

/// A fault that a test injects into a publisher or a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The head is replaced without a condition.
    UnconditionalUpdate,
    /// A head update without an answer counts as done.
    AssumeWritten,
    /// A head update without an answer is repeated against the head that is current by then.
    RetryOnNewHead,
    /// A release is accepted even if its generation is lower than the held one.
    AcceptOlder,
    /// New releases are ignored, whether announced by peers or by the head.
    IgnoreReleases,
}
