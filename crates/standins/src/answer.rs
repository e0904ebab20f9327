//! Answers that can be recomputed from the prompt.
//!
//! A caller can check that it received the whole answer to its own request, and nothing of
//! another one, by recomputing the text from what it sent.

use xxhash_rust::xxh3::xxh3_64;

/// Fewest tokens of an answer.
const SHORTEST: u64 = 4;

/// One token of the answer to a prompt.
pub fn token_text(prompt: &str, index: u32) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) as u32)
}

/// The length of the answer to a prompt, in tokens.
///
/// Lengths spread evenly over the powers of two, as real answers do.
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let hash = xxh3_64(prompt.as_bytes());
    let most = u64::from(max_tokens.max(1));
    let doublings = most.max(SHORTEST).ilog2() - SHORTEST.ilog2();
    let scale = SHORTEST << ((hash >> 32) % u64::from(doublings + 1));
    let tokens = scale + (hash & 0xffff) % scale;
    tokens.min(most) as u32
}

/// The whole answer to a prompt.
pub fn answer_text(prompt: &str, max_tokens: u32) -> String {
    (0..answer_tokens(prompt, max_tokens))
        .map(|index| token_text(prompt, index))
        .collect()
}
