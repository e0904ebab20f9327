use crate::Content;
use googletest::prelude::*;

fn content(text: &str) -> Content {
    serde_json::from_str(text).expect("content")
}

#[gtest]
fn text_of_a_plain_string_is_kept() {
    let plain = content(r#""sn\u00f6w""#);
    expect_that!(plain.text.as_deref(), some(eq("snöw")));
    expect_that!(plain.bytes, eq(5));
    expect_that!(content("null"), eq(&Content::default()));
}

#[gtest]
fn text_of_parts_is_counted_but_not_kept() {
    let parts = content(r#"[{"type": "text", "text": "sleds?"}, {"n": [1, null, true, 0.5]}]"#);
    expect_that!(parts.text, none());
    expect_that!(parts.bytes, eq(4 + 6 + 3));
}

#[gtest]
fn content_of_other_types_is_refused() {
    for text in ["7", "true", "[", "{\"a\"}"] {
        expect_that!(
            serde_json::from_str::<Content>(text),
            err(anything()),
            "{text}"
        );
    }
}
