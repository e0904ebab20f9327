//! At-most-once execution of calls with an idempotency key.
//!
//! The token at the start of a key names the key's home: the one process that may run calls
//! with the key, until it leaves and hands its keys over to a successor. Every other VM forwards
//! such calls to the home, so that no write to the platform delays a call. A key without a token
//! is claimed in the platform by a conditional write, which makes the claimant its home. A VM
//! that cannot reach the home never runs the call itself; it responds that the call did not run
//! here and that an earlier call with the key may have run.

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
