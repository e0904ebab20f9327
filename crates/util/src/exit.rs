//! The exit codes of the tool.

use std::process::ExitCode;

/// Result of a command; the meaning of a code never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// A failure without a code of its own, such as an unreadable file.
    Failure = 1,
    // Code 2 is the command-line parser's code for wrong usage.
    /// The set has errors.
    Invalid = 3,
    /// Another set was published first; nothing was changed.
    Conflict = 4,
    /// The publication may or may not have taken effect.
    Undecided = 5,
    /// The platform or a VM could not be reached; nothing was changed.
    Unreachable = 6,
    /// A VM or the platform refused the request.
    Refused = 7,
    /// The sets differ; returned only by `diff --exit-code`.
    Differs = 8,
    /// A guarantee was violated in a run of `demo`.
    Violated = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
