use crate::stream::{StreamEvent, parse_line};
use googletest::prelude::*;
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo};

#[gtest]
fn text_end_and_error_events_are_distinguished() {
    let text = r#"data: {"choices":[{"delta":{"content":"snow"}}]}"#;
    expect_that!(
        parse_line(text),
        some(eq(&StreamEvent::Text("snow".to_owned())))
    );
    expect_that!(parse_line("data: [DONE]"), some(eq(&StreamEvent::Done)));
    let body = ErrorBody {
        error: ErrorInfo::new(ErrorCode::InDoubt, "vm1"),
    };
    let line = format!("data: {}", body.to_json());
    expect_that!(parse_line(&line), some(eq(&StreamEvent::Error(body.error))));
    expect_that!(parse_line(": comment"), none());
    expect_that!(parse_line("data: {}"), some(eq(&StreamEvent::Empty)));
}
