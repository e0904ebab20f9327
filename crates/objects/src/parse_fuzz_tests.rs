use crate::parse;
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::prelude::*;
use std::path::Path;

const VALID: &[u8] = br#"[
    {"kind": "tier", "name": "high", "rank": 0, "floor_percent": 5, "preemptible": false},
    {"kind": "class", "name": "ask", "tier": "high", "models": ["tiny"],
        "target": {"stream": {"first_token_ms": 900, "inter_token_ms": 40}}},
    {"kind": "workspace", "name": "atlas", "weight": 3, "limits": {"rate": 5}, "keys": ["ab"]},
    {"kind": "endpoint", "name": "e1", "address": "127.0.0.1:1", "data_centre": "a", "slots": 4,
        "serves": {"model": {"model": "tiny", "version": "1"}}}
]"#;

proptest! {
    #![proptest_config(config(17))]

    #[test]
    fn edited_files_parse_or_give_short_errors(text in edited_json(VALID)) {
        let parsed = parse(Path::new("a.json"), &text);
        prop_assert!(parsed.objects.len() + parsed.errors.len() > 0);
        for error in &parsed.errors {
            prop_assert!(error.to_string().len() < 1_000, "{error}");
        }
    }

    #[test]
    fn random_bytes_give_no_objects(text in any_bytes()) {
        let parsed = parse(Path::new("a.json"), &text);
        prop_assert!(parsed.objects.is_empty());
    }
}
