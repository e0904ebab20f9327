//! Hash functions that give the same results on every VM.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a string.
pub fn hash_text(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Hash of two numbers, for rendezvous hashing.
pub fn hash_pair(left: u64, right: u64) -> u64 {
    xxh3_64_with_seed(&left.to_le_bytes(), right)
}

/// Upper half of the hash of an endpoint's name, which identifies the endpoint in heartbeats.
pub const fn short_hash(name_hash: u64) -> u32 {
    (name_hash >> 32) as u32
}
