//! Names of the headers that callers, VMs and endpoints exchange.

/// The class of a call.
pub const CLASS: &str = "x-class";
/// The identifier of a call; told to callers and endpoints.
pub const CALL_ID: &str = "x-call-id";
/// The rank of the call's tier, for the engine's own queue.
pub const PRIORITY: &str = "x-priority";
/// Hash of the prompt's start, for the engine's prefix cache.
pub const PREFIX: &str = "x-prefix";
/// Tokens that the caller has seen, when an engine shall go on with a stream.
pub const RESUME_FROM: &str = "x-resume-from";
/// Set by an endpoint that proves that it did not run the call.
pub const NOT_RUN: &str = "x-not-run";
/// The caller's key of a call that must not run twice.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The incarnation that holds the caller's keys, from the list of addresses.
pub const KEY_TOKEN: &str = "x-key-token";
/// The VM that answered.
pub const VM: &str = "x-vm";
/// The end of a stream of server-sent events.
pub const DONE: &str = "[DONE]";
