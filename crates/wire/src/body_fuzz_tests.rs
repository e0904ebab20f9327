use crate::{ChatHead, ErrorBody, TokenUsage};
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::prelude::*;

const CHAT: &[u8] = br#"{"model": "tiny", "stream": true, "max_tokens": 7, "adapter": "fr",
    "messages": [{"role": "system", "content": "be short"},
    {"role": "user", "content": [{"type": "text", "text": "sleds?"}]}], "temperature": 0.5}"#;

const ANSWER: &[u8] = br#"{"choices": [{"message": {"content": "yes"}}],
    "usage": {"prompt_tokens": 3, "completion_tokens": 9}}"#;

const ERROR: &[u8] = br#"{"error": {"code": "overload", "message": "m", "step": "admit",
    "peer": "vm", "ran": "not_run", "retry_after_ms": 5, "others": ["127.0.0.1:1"]}}"#;

/// Checks that a body gives a call within the bounds of its length, or a short error message.
fn check_parse(body: &[u8]) -> Result<(), TestCaseError> {
    match ChatHead::parse(body) {
        Ok(request) => {
            prop_assert!(!request.messages.is_empty());
            prop_assert!(request.max_tokens != Some(0));
            prop_assert!(request.input_tokens() as usize <= body.len().max(1));
            prop_assert!(request.prefix().len() <= body.len() * 3);
        }
        Err(error) => prop_assert!(error.to_string().len() < 1_000, "{error}"),
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(19))]

    #[test]
    fn edited_chat_calls_are_parsed_or_refused(body in edited_json(CHAT)) {
        check_parse(&body)?;
    }

    #[test]
    fn arbitrary_bytes_are_parsed_or_refused(body in any_bytes()) {
        check_parse(&body)?;
        let _ = TokenUsage::from_answer(&body);
    }

    #[test]
    fn usage_of_edited_answers_is_read_without_panic(body in edited_json(ANSWER)) {
        let _ = TokenUsage::from_answer(&body);
    }

    #[test]
    fn edited_errors_that_parse_survive_a_round_trip(body in edited_json(ERROR)) {
        if let Ok(error) = serde_json::from_slice::<ErrorBody>(&body) {
            let reparsed = serde_json::from_str::<ErrorBody>(&error.to_json());
            prop_assert_eq!(reparsed.ok(), Some(error));
        }
    }
}
