//! The exit codes of the tool.

use std::process::ExitCode;

/// How a command ended; the numbers never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// Everything was done.
    Success = 0,
    /// Something failed that no other code names, such as an unreadable file.
    Failure = 1,
    // 2 is the command-line parser's code for wrong usage.
    /// The set has errors.
    Invalid = 3,
    /// Another publication came first; nothing was changed.
    Conflict = 4,
    /// It is not known whether the publication took effect.
    Undecided = 5,
    /// The platform or a VM could not be reached; nothing was changed.
    Unreachable = 6,
    /// A VM or the platform refused the request.
    Refused = 7,
    /// The sets differ, where that was asked.
    Differs = 8,
    /// A promise broke.
    Broken = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
