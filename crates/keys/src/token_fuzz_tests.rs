use crate::{KeyText, Token};
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::prelude::*;

const KEY: &[u8] = b"00000000c0ffee01-1c9a3f0.booking-17";

fn check(text: &[u8]) -> Result<(), TestCaseError> {
    let text = String::from_utf8_lossy(text);
    if let Ok(token) = text.parse::<Token>() {
        prop_assert_eq!(token.to_string().parse::<Token>().ok(), Some(token));
    }
    let key = KeyText::new(text.as_ref());
    if let Some(token) = key.token() {
        let (start, rest) = text.split_once('.').unwrap_or_default();
        prop_assert!(!rest.is_empty());
        prop_assert_eq!(start.parse::<Token>().ok(), Some(token));
    }
    prop_assert_eq!(
        key.is_valid(),
        (1..=crate::MAX_KEY_BYTES).contains(&text.len())
    );
    Ok(())
}

proptest! {
    #![proptest_config(config(22))]

    #[test]
    fn edited_keys_have_at_most_one_parsable_token(text in edited_json(KEY)) {
        check(&text)?;
    }

    #[test]
    fn arbitrary_texts_have_at_most_one_parsable_token(text in any_bytes()) {
        check(&text)?;
    }
}
