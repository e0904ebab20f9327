//! Deliberate faults that show that the fuzzing would find them.

/// A fault that a test puts into a publisher or a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The head is replaced whatever it is.
    BlindUpdate,
    /// A write without an answer counts as done.
    TrustLostAnswer,
    /// A write without an answer is repeated on top of whatever the head is now.
    RepeatOnTop,
    /// A release is believed even if it is older.
    TakeOlder,
    /// News of a release is not passed on, and the platform's is not read.
    IgnoreNews,
}
