//! At-most-once execution of calls that must not be repeated.
//!
//! A key names its home: the one process that may run calls with it. Any other VM forwards
//! to the home, so no write to the platform stands on the path of a booking. Keys without a
//! home are claimed in the platform instead, by a conditional write that makes the claimant
//! the home. Whoever cannot reach the home says that the call did not run here and leaves
//! open whether an earlier one did; it never runs the call itself.

mod api;
mod claim;
mod entry;
mod forward;
mod handover;
mod home;
mod machine;
mod mutation;
mod token;

#[cfg(test)]
mod claim_tests;
#[cfg(test)]
mod handover_tests;
#[cfg(test)]
mod machine_tests;
#[cfg(test)]
mod token_fuzz_tests;

pub use api::{
    CallKey, CallOutcome, ClaimObject, ClaimState, Counts, Input, KeyOutcome, KeyedCall,
    KeysMessage, NotRunReason, Output, Record, RunEnd, Settings, Succession,
};
pub use claim::claim_key;
pub use machine::Core;
pub use mutation::Mutation;
pub use token::{KeyText, MAX_KEY_BYTES, ParseTokenError, Token};
