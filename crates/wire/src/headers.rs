//! Names of the headers that callers, VMs and endpoints exchange, and the end mark of streams.

/// Class of a call.
pub const CLASS: &str = "x-class";
/// Identifier of a call, sent to callers and endpoints.
pub const CALL_ID: &str = "x-call-id";
/// Rank of the call's tier, for the engine's own queue.
pub const PRIORITY: &str = "x-priority";
/// Hash of the start of the prompt, for the engine's prefix cache.
pub const PREFIX: &str = "x-prefix";
/// Number of tokens that the caller has received, if an engine is to resume a stream.
pub const RESUME_FROM: &str = "x-resume-from";
/// Set by an endpoint to state that it did not run the call.
pub const NOT_RUN: &str = "x-not-run";
/// The caller's key for a call that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Token from the address list, which names the incarnation that holds the caller's keys.
pub const KEY_TOKEN: &str = "x-key-token";
/// VM that answered.
pub const VM: &str = "x-vm";
/// Data of the server-sent event that ends a stream.
pub const DONE: &str = "[DONE]";
