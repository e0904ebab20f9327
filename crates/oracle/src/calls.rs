//! Ends of simulated dispatches.

use poplarswitch_scheduler::{Dispatch, End, Ended, Fault};

/// The way in which a dispatch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is complete.
    Answer,
    /// The connection is refused.
    Unreached,
    /// The endpoint states that it did not run the call.
    Declined,
    /// The connection is lost before any output.
    Lost,
    /// The connection is lost after some output.
    LostMidstream,
    /// The endpoint ran the call and reports an error.
    Errored,
}

impl Ending {
    /// All endings.
    pub const ALL: [Self; 6] = [
        Self::Answer,
        Self::Unreached,
        Self::Declined,
        Self::Lost,
        Self::LostMidstream,
        Self::Errored,
    ];

    /// The end of a dispatch whose caller had received `emitted` tokens before it.
    pub const fn to_ended(self, dispatch: &Dispatch, emitted: u32) -> Ended {
        let end = match self {
            Self::Answer => End::Answered { tokens: 20 },
            Self::Unreached => fault(Fault::Unreached, emitted),
            Self::Declined => fault(Fault::Declined, emitted),
            Self::Lost => fault(Fault::Lost, emitted),
            Self::LostMidstream => fault(Fault::Lost, emitted + 3),
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
