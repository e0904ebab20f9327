//! Generators of malformed input for tests of the parsers of external data.
//!
//! A parser rejects most random byte strings at their first byte. The generators therefore make a
//! few random edits in a valid document, with pieces of its grammar. Seeds are fixed, so that each
//! run in CI gives the same result; the environment variable `PROPTEST_CASES` sets another number
//! of cases.

use proptest::{
    collection::vec,
    prelude::*,
    sample::{Index, select},
    test_runner::{Config, RngSeed},
};

/// Number of cases per property if the environment sets none.
const DEFAULT_CASES: u32 = 2_000;

/// Upper bound of the edits of a document, exclusive.
const EDITS_END: usize = 8;

/// Upper bound of the bytes that an edit removes, exclusive.
const REMOVED_BYTES_END: usize = 12;

/// Valid and invalid pieces of JSON.
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
    b"NaN",
    b"-Infinity",
    b"0x10",
    b"007",
    b"None",
    b"'a'",
    b"},{",
    b"}}",
    b"\x01",
];

/// Pieces of CBOR: lengths greater than the input, indefinite lengths, break codes, tags and single
/// bytes.
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
    removed: usize,
    piece: &'static [u8],
}

/// A test configuration with a fixed seed.
pub fn config(seed: u64) -> Config {
    let cases = match std::env::var_os("PROPTEST_CASES") {
        Some(_) => Config::default().cases,
        None => DEFAULT_CASES,
    };
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// A valid JSON document with a few random edits.
pub fn edited_json(valid: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    edited(valid, JSON_PIECES)
}

/// A valid CBOR document with a few random edits.
pub fn edited_binary(valid: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    edited(valid, BINARY_PIECES)
}

/// Random bytes.
pub fn any_bytes() -> impl Strategy<Value = Vec<u8>> {
    vec(any::<u8>(), 0..200)
}

/// Random bytes, or random pieces of JSON.
pub fn broken_json() -> impl Strategy<Value = Vec<u8>> {
    let pieces = vec(select(JSON_PIECES), 0..8);
    prop_oneof![any_bytes(), pieces.prop_map(|pieces| pieces.concat())]
}

fn edited(
    valid: &[u8],
    pieces: &'static [&'static [u8]],
) -> impl Strategy<Value = Vec<u8>> + use<> {
    let valid = valid.to_vec();
    let edit = (any::<Index>(), 0..REMOVED_BYTES_END, select(pieces));
    let edit = edit.prop_map(|(at, removed, piece)| Edit { at, removed, piece });
    vec(edit, 0..EDITS_END).prop_map(move |edits| apply(valid.clone(), &edits))
}

fn apply(mut document: Vec<u8>, edits: &[Edit]) -> Vec<u8> {
    for edit in edits {
        let start = edit.at.index(document.len() + 1);
        let end = (start + edit.removed).min(document.len());
        document.splice(start..end, edit.piece.iter().copied());
    }
    document
}

/// Numbers at and beside the ends of the integer types, powers of ten that stand for times and
/// sizes, and any others.
pub fn edge_numbers() -> impl Strategy<Value = u64> {
    let edges = [0, 1, 2, 127, 255, 256, 65_535, 65_536, 1_000, 1_000_000];
    let ends = [
        u64::from(u32::MAX) - 1,
        u64::from(u32::MAX),
        u64::from(u32::MAX) + 1,
        i64::MAX as u64,
        i64::MAX as u64 + 1,
        u64::MAX / 1_000,
        u64::MAX - 1,
        u64::MAX,
    ];
    prop_oneof![select(edges.to_vec()), select(ends.to_vec()), any::<u64>()]
}

/// What another writer, or the endpoint itself, does to the entry of a known name. Fields are
/// indexes into short lists of values, so that most steps change some fields of a known entry.
#[derive(Clone, Debug)]
pub struct EntryStep {
    /// Name of the entry.
    pub name: u8,
    /// Service that it names.
    pub service: u8,
    /// Data centre that it names.
    pub data_centre: u8,
    /// Address that it names.
    pub address: u8,
    /// Version that it names.
    pub software: u8,
    /// Start of the process.
    pub start_ms: u64,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Whether the endpoint drains.
    pub drains: bool,
    /// What happens to the entry.
    pub action: EntryAction,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug)]
pub enum EntryAction {
    /// It is written; a watch tells of it.
    Write,
    /// A listing has no other entries.
    ListAlone,
    /// It is removed.
    Remove,
    /// It may have lapsed.
    Lapse,
    /// The platform comes back from a copy that has it.
    NewEra,
}

/// Steps that change the entries of a few names.
pub fn entry_steps() -> impl Strategy<Value = Vec<EntryStep>> {
    let action = prop_oneof![
        6 => Just(EntryAction::Write),
        1 => Just(EntryAction::ListAlone),
        1 => Just(EntryAction::Remove),
        1 => Just(EntryAction::Lapse),
        1 => Just(EntryAction::NewEra),
    ];
    let start = prop_oneof![3 => Just(7), 1 => edge_numbers()];
    let slots = edge_numbers().prop_map(|slots| slots.min(u64::from(u32::MAX)) as u32);
    let identity = (0..3_u8, 0..3_u8, 0..2_u8, 0..2_u8, 0..3_u8);
    let step = (identity, start, slots, any::<bool>(), action);
    let step = step.prop_map(|(identity, start_ms, slots, drains, action)| {
        let (name, service, data_centre, address, software) = identity;
        EntryStep {
            name,
            service,
            data_centre,
            address,
            software,
            start_ms,
            slots,
            drains,
            action,
        }
    });
    vec(step, 1..20)
}
