//! What of the full policy is in use.

use bon::Builder;

/// Percent of fresh dispatches that may be followed by a retry.
const RETRY_PERCENT: u32 = 10;
/// Retries allowed beside that share.
const RETRY_RESERVE: u32 = 10;
/// Dispatches of one call that may have run.
const MAX_RUNS: u32 = 3;
/// Dispatches of one call that proved not to have run.
const MAX_NOT_RUN: u32 = 8;
/// Resumptions of one call.
const MAX_RESUMES: u32 = 2;

/// Switches and bounds of the full policy.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns one independent part of the policy off"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Builder)]
pub struct Tuning {
    /// Whether calls with the same prompt prefix are kept together.
    #[builder(default = true)]
    pub affinity: bool,
    /// Whether stragglers are put out.
    #[builder(default = true)]
    pub ejection: bool,
    /// Whether calls that cannot be served in time are refused at once.
    #[builder(default = true)]
    pub admission: bool,
    /// Whether slots are kept free for short urgent classes.
    #[builder(default = true)]
    pub reserve: bool,
    /// Percent of fresh dispatches that may be followed by a retry.
    #[builder(default = RETRY_PERCENT)]
    pub retry_percent: u32,
    /// Retries allowed beside that share.
    #[builder(default = RETRY_RESERVE)]
    pub retry_reserve: u32,
    /// Dispatches of one call that may have run.
    #[builder(default = MAX_RUNS)]
    pub max_runs: u32,
    /// Dispatches of one call that proved not to have run.
    #[builder(default = MAX_NOT_RUN)]
    pub max_not_run: u32,
    /// Resumptions of one call.
    #[builder(default = MAX_RESUMES)]
    pub max_resumes: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self::builder().build()
    }
}
