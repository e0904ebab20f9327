//! Generators of broken input for tests of the parsers at the edges.
//!
//! Random bytes seldom get past a parser's first character, so input is made from good
//! documents by a few edits that steer towards the grammar. Seeds are fixed, so that a run
//! in CI gives the same verdict each time; `PROPTEST_CASES` makes a longer run.

use proptest::{
    collection::vec,
    prelude::*,
    sample::{Index, select},
    test_runner::{Config, RngSeed},
};

/// Cases of one property where the environment names no other number.
const CASES: u32 = 2_000;

/// Most edits of one document.
const MAX_EDITS: usize = 8;

/// Most bytes that one edit removes.
const MAX_CUT: usize = 12;

/// Pieces of JSON, well formed and not.
const JSON_PIECES: &[&[u8]] = &[
    b"{",
    b"}",
    b"[",
    b"]",
    b",",
    b":",
    b"\"",
    b"\\",
    b"\\u0000",
    b"\\ud800",
    b"null",
    b"true",
    b"-1",
    b"0",
    b"1e999",
    b"18446744073709551616",
    b"\xff",
    b"\xc3",
    b"\"name\": \"x\",",
    b"[[[[[[",
    b"{\"a\":{\"a\":",
    b" ",
    b"\n",
];

/// Pieces of a binary encoding: lengths beyond any input, breaks, tags and odd bytes.
const BINARY_PIECES: &[&[u8]] = &[
    b"\x00",
    b"\xff",
    b"\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x5b\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff",
    b"\xbb\x00\x00\x00\xff\xff\xff\xff\xff",
    b"\x5f",
    b"\x9f",
    b"\xbf",
    b"\xf6",
    b"\xf9\x7e\x00",
    b"\x81\x81\x81\x81\x81\x81\x81\x81",
    b"\xc2\x41\x01",
    b"\x60",
    b"\x7a\x00\x10\x00\x00",
];

#[derive(Clone, Debug)]
struct Edit {
    at: Index,
    cut: usize,
    piece: &'static [u8],
}

/// A configuration with a fixed seed.
pub fn config(seed: u64) -> Config {
    let cases = match std::env::var_os("PROPTEST_CASES") {
        Some(_) => Config::default().cases,
        None => CASES,
    };
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// A JSON document with a few edits.
pub fn edited_json(good: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    edited(good, JSON_PIECES)
}

/// A binary document with a few edits.
pub fn edited_binary(good: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    edited(good, BINARY_PIECES)
}

/// Any bytes at all.
pub fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..200)
}

fn edited(good: &[u8], pieces: &'static [&'static [u8]]) -> impl Strategy<Value = Vec<u8>> + use<> {
    let good = good.to_vec();
    let edit = (any::<Index>(), 0..MAX_CUT, select(pieces));
    let edit = edit.prop_map(|(at, cut, piece)| Edit { at, cut, piece });
    vec(edit, 0..MAX_EDITS).prop_map(move |edits| apply(good.clone(), &edits))
}

fn apply(mut text: Vec<u8>, edits: &[Edit]) -> Vec<u8> {
    for edit in edits {
        let start = edit.at.index(text.len() + 1);
        let end = (start + edit.cut).min(text.len());
        text.splice(start..end, edit.piece.iter().copied());
    }
    text
}
