use crate::Settings;
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::prelude::*;

const GOOD: &[u8] = br#"{"vm": "vm-1", "data_centre": "ifrane", "cell": "atlas",
    "addresses": {"callers": "127.0.0.1:1", "peers": "[::1]:2"}, "seeds": ["127.0.0.1:3"],
    "platform": "http://127.0.0.1:4", "secrets": {"peers": "secret"},
    "limits": {"calls": 5, "body_bytes": 100}, "timeline_events": 9, "drain_ms": 10}"#;

fn judge(text: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(text);
    match Settings::parse(&text) {
        Ok(settings) => {
            let whole = serde_json::from_str::<serde_json::Value>(&text);
            prop_assert!(whole.is_ok(), "accepted what is no JSON: {text}");
            let again = Settings::parse(&settings.to_json());
            prop_assert_eq!(again.ok(), Some(settings.clone()));
            // Judged without panic, whatever the verdict.
            let _ = settings.validate();
        }
        Err(error) => prop_assert!(error.to_string().len() < 2_000, "{error}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(18))]

    #[test]
    fn edited_settings_come_back_the_same_or_give_an_error(text in edited_json(GOOD)) {
        judge(&text)?;
    }

    #[test]
    fn any_bytes_give_an_error(text in any_bytes()) {
        judge(&text)?;
    }
}
