use crate::parse;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use std::path::Path;

const GOOD: &str = r#"[
    {"kind": "tier", "name": "high", "rank": 0, "floor_percent": 5, "preemptible": false},
    {"kind": "class", "name": "ask", "tier": "high", "models": ["tiny"],
        "target": {"stream": {"first_token_ms": 900, "inter_token_ms": 40}}},
    {"kind": "workspace", "name": "atlas", "weight": 3, "limits": {"rate": 5}, "keys": ["ab"]},
    {"kind": "endpoint", "name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 4,
        "serves": {"model": {"model": "tiny", "version": "1"}}}
]"#;

/// Pieces that steer edits towards JSON.
const PIECES: &[&[u8]] = &[
    b"{",
    b"}",
    b"[",
    b"]",
    b",",
    b":",
    b"\"",
    b"\\u0000",
    b"null",
    b"-1",
    b"1e999",
    b"18446744073709551616",
    b"\"kind\":",
    b"\xff",
    b"\"name\": \"x\",",
    b"[[[[",
];

#[derive(Clone, Debug)]
struct Splice {
    at: prop::sample::Index,
    cut: usize,
    piece: &'static [u8],
}

fn splice() -> impl Strategy<Value = Splice> {
    (
        any::<prop::sample::Index>(),
        0..12_usize,
        prop::sample::select(PIECES),
    )
        .prop_map(|(at, cut, piece)| Splice { at, cut, piece })
}

fn spliced(splices: &[Splice]) -> Vec<u8> {
    let mut text = GOOD.as_bytes().to_vec();
    for splice in splices {
        let start = splice.at.index(text.len() + 1);
        let end = (start + splice.cut).min(text.len());
        text.splice(start..end, splice.piece.iter().copied());
    }
    text
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..Config::default()
    })]

    #[test]
    fn edited_files_parse_or_give_short_errors(splices in vec(splice(), 0..8)) {
        let text = spliced(&splices);
        let parsed = parse(Path::new("a.json"), &text);
        prop_assert!(parsed.objects.len() + parsed.errors.len() > 0);
        for error in &parsed.errors {
            prop_assert!(error.to_string().len() < 1_000, "{error}");
        }
    }

    #[test]
    fn any_bytes_parse_or_give_an_error(text in vec(any::<u8>(), 0..200)) {
        let parsed = parse(Path::new("a.json"), &text);
        prop_assert!(parsed.objects.is_empty());
    }
}
