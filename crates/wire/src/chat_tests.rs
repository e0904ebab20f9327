use crate::{ChatError, ChatRequest, ModelList, TokenUsage};
use googletest::prelude::*;

#[gtest]
fn reads_what_decides_and_ignores_the_rest() {
    let body = br#"{"model": "tiny", "stream": true, "temperature": 0.5, "max_tokens": 7,
        "messages": [{"role": "system", "content": "eight by"}, {"role": "user", "content": "x"}]}"#;
    let head = ChatRequest::parse(body).expect("parses");
    expect_that!(head.stream, eq(true));
    expect_that!(head.max_tokens, some(eq(7)));
    expect_that!(head.input_tokens(), eq(2));
    expect_that!(head.prefix(), eq("eight by"));
}

#[gtest]
fn refuses_what_is_no_call() {
    let parse = |text: &str| ChatRequest::parse(text.as_bytes());
    expect_that!(matches!(parse("{"), Err(ChatError::Json { .. })), eq(true));
    expect_that!(
        parse(r#"{"model": "m", "messages": []}"#),
        err(eq(&ChatError::NoMessages))
    );
    let text = r#"{"model": "m", "max_tokens": 0, "messages": [{"role": "user"}]}"#;
    expect_that!(parse(text), err(eq(&ChatError::ZeroMaxTokens)));
}

#[gtest]
fn reads_the_usage_of_a_whole_answer() {
    let usage = TokenUsage::from_answer(br#"{"usage": {"completion_tokens": 9}}"#);
    expect_that!(usage.completion_tokens, eq(9));
    expect_that!(TokenUsage::from_answer(b"?"), eq(TokenUsage::default()));
}

#[gtest]
fn lists_models_in_order() {
    let list = ModelList::from_names(["b", "a"].into_iter());
    let ids: Vec<&str> = list.data.iter().map(|card| card.id.as_str()).collect();
    expect_that!(ids, eq(&["a", "b"]));
}
