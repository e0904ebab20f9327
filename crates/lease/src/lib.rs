//! The lease of a group of duties.
//!
//! One VM at a time holds the lease and does the duties of its group. A [`Tenure`] carries the
//! fencing token of the holder, which rises whenever the holder changes.

mod machine;
mod record;

#[cfg(test)]
mod machine_tests;

use poplarswitch_entity::Time;

pub use machine::{Held, Lease, LeaseSettings};
pub use record::{LeaseCall, LeaseNews, LeaseRecord, LeaseReply, LeaseRequest, Stamp};

/// The lease as held by this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Fencing token of this term.
    pub token: u64,
    /// Time until which this VM may begin calls as the holder. The lease outlasts it by the longest
    /// call, and by the longest pause where the API checks no fencing tokens.
    pub expires_at: Time,
    /// Since when this VM has held the lease without a gap.
    pub since: Time,
}

impl Tenure {
    /// Whether no VM has held the lease before in this era of the platform.
    pub const fn is_first_of_era(&self) -> bool {
        self.token & machine::TERM_MASK == 1
    }
}
