use crate::{ChatError, ChatHead, ModelList, TokenUsage};
use googletest::prelude::*;

#[gtest]
fn known_fields_are_read_and_others_ignored() {
    let body = br#"{"model": "tiny", "stream": true, "temperature": 0.5, "max_tokens": 7,
        "messages": [{"role": "system", "content": "eight by"}, {"role": "user", "content": "x"}]}"#;
    let request = ChatHead::parse(body).expect("parses");
    expect_that!(request.stream, eq(true));
    expect_that!(request.max_tokens, some(eq(7)));
    expect_that!(request.input_tokens(), eq(2));
    expect_that!(request.prefix(), eq("eight by"));
}

#[gtest]
fn body_that_is_not_a_valid_call_is_refused() {
    let parse = |text: &str| ChatHead::parse(text.as_bytes());
    expect_that!(matches!(parse("{"), Err(ChatError::Json { .. })), eq(true));
    expect_that!(
        parse(r#"{"model": "m", "messages": []}"#),
        err(eq(&ChatError::NoMessages))
    );
    let text = r#"{"model": "m", "max_tokens": 0, "messages": [{"role": "user"}]}"#;
    expect_that!(parse(text), err(eq(&ChatError::ZeroMaxTokens)));
}

#[gtest]
fn usage_is_read_from_an_answer_and_zero_without_one() {
    let usage = TokenUsage::from_answer(br#"{"usage": {"completion_tokens": 9}}"#);
    expect_that!(usage.completion_tokens, eq(9));
    expect_that!(TokenUsage::from_answer(b"?"), eq(TokenUsage::default()));
}

#[gtest]
fn models_are_sorted_by_name() {
    let list = ModelList::from_names(["b", "a"].into_iter());
    let ids: Vec<&str> = list.data.iter().map(|card| card.id.as_str()).collect();
    expect_that!(ids, eq(&["a", "b"]));
}
