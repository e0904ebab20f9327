//! Options of the full policy.

use bon::Builder;

/// Retries allowed per 100 first dispatches.
const RETRY_PERCENT: u32 = 10;
/// Retries allowed without preceding dispatches, and the most that the budget holds.
const RETRY_RESERVE: u32 = 10;
/// Most dispatches of one call that may have run.
const MAX_RUNS: u32 = 3;
/// Most times that one call is dispatched again after a dispatch that was not run.
const MAX_NOT_RUN: u32 = 8;
/// Most times that the stream of one call is resumed.
const MAX_RESUMES: u32 = 2;

/// Switches and limits of the full policy.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns one independent part of the policy off"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Builder)]
pub struct Tuning {
    /// Whether calls with the same prompt prefix are sent to the same endpoint.
    #[builder(default = true)]
    pub affinity: bool,
    /// Whether endpoints that are much slower than the others are ejected.
    #[builder(default = true)]
    pub ejection: bool,
    /// Whether a call is refused at submission if its expected queue wait is too long.
    #[builder(default = true)]
    pub admission: bool,
    /// Whether slots are kept free for classes with short targets.
    #[builder(default = true)]
    pub reserve: bool,
    /// Retries allowed per 100 first dispatches.
    #[builder(default = RETRY_PERCENT)]
    pub retry_percent: u32,
    /// Retries allowed without preceding dispatches, and the most that the budget holds.
    #[builder(default = RETRY_RESERVE)]
    pub retry_reserve: u32,
    /// Most dispatches of one call that may have run.
    #[builder(default = MAX_RUNS)]
    pub max_runs: u32,
    /// Most times that one call is dispatched again after a dispatch that was not run.
    #[builder(default = MAX_NOT_RUN)]
    pub max_not_run: u32,
    /// Most times that the stream of one call is resumed.
    #[builder(default = MAX_RESUMES)]
    pub max_resumes: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}
