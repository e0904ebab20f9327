use crate::Settings;
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::prelude::*;

const VALID: &[u8] = br#"{"vm": "vm-1", "data_centre": "ifrane", "cell": "atlas",
    "addresses": {"callers": "127.0.0.1:1", "peers": "[::1]:2"}, "seeds": ["127.0.0.1:3"],
    "platform": "http://127.0.0.1:4", "secrets": {"peers": "secret"},
    "limits": {"calls": 5, "body_bytes": 100}, "timeline_events": 9, "drain_ms": 10}"#;

fn check_parse(text: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(text);
    match Settings::parse(&text) {
        Ok(settings) => {
            let json = serde_json::from_str::<serde_json::Value>(&text);
            prop_assert!(json.is_ok(), "accepted text that is not JSON: {text}");
            let reparsed = Settings::parse(&settings.to_json());
            prop_assert_eq!(reparsed.ok(), Some(settings.clone()));
            // Validation must not panic, whether it succeeds or not.
            let _ = settings.validate();
        }
        Err(error) => prop_assert!(error.to_string().len() < 2_000, "{error}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(18))]

    #[test]
    fn edited_settings_round_trip_or_give_an_error(text in edited_json(VALID)) {
        check_parse(&text)?;
    }

    #[test]
    fn arbitrary_bytes_round_trip_or_give_an_error(text in any_bytes()) {
        check_parse(&text)?;
    }
}
