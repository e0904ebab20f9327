//! Deterministic answers, computed from the prompt.
//!
//! A caller recomputes the text from the prompt that it sent, to check that it received the whole
//! answer to its own request and no part of the answer to another one.

use xxhash_rust::xxh3::xxh3_64;

/// Length of the shortest answer, in tokens, if the limit of the call allows it.
const MIN_TOKENS: u64 = 4;

/// Text of a token of the answer to a prompt; the first token has index 0.
pub fn token_text(prompt: &str, index: u32) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// Length of the answer to a prompt, in tokens, for a limit on the length.
///
/// The lengths for different prompts are spread evenly over the powers of two up to the limit, as
/// the lengths of real answers are.
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let hash = xxh3_64(prompt.as_bytes());
    let limit = u64::from(max_tokens.max(1));
    let doublings = limit.max(MIN_TOKENS).ilog2() - MIN_TOKENS.ilog2();
    let scale = MIN_TOKENS << ((hash >> 32) % u64::from(doublings + 1));
    let tokens = scale + (hash & 0xffff) % scale;
    tokens.min(limit) as u32
}

/// Text of the whole answer to a prompt, for a limit on the length in tokens.
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    (0..answer_tokens(prompt, max_tokens))
        .map(|index| token_text(prompt, index))
        .collect()
}
