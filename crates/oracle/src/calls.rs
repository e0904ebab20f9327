//! How a fuzzed dispatch ends.

use poplarswitch_scheduler::{Dispatch, End, Ended, Fault};

/// The ways in which a dispatch can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer.
    Answer,
    /// The connection was refused.
    Unreached,
    /// The endpoint said that it did not run the call.
    Declined,
    /// Lost before any output.
    Lost,
    /// Lost in mid stream.
    LostMidway,
    /// The endpoint said that it failed.
    Errored,
}

impl Ending {
    /// All ways.
    pub const ALL: [Self; 6] = [
        Self::Answer,
        Self::Unreached,
        Self::Declined,
        Self::Lost,
        Self::LostMidway,
        Self::Errored,
    ];

    /// The end of a dispatch whose caller had seen so many tokens before it.
    pub const fn of(self, dispatch: &Dispatch, emitted: u32) -> Ended {
        let end = match self {
            Self::Answer => End::Answered { tokens: 20 },
            Self::Unreached => fault(Fault::Unreached, emitted),
            Self::Declined => fault(Fault::Declined, emitted),
            Self::Lost => fault(Fault::Lost, emitted),
            Self::LostMidway => fault(Fault::Lost, emitted + 3),
            Self::Errored => fault(Fault::Errored, emitted),
        };
        Ended {
            call: dispatch.call,
            attempt: dispatch.attempt,
            end,
        }
    }
}

const fn fault(fault: Fault, emitted: u32) -> End {
    End::Failed { fault, emitted }
}
