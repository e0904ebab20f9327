use crate::stream::{Event, read_line};
use googletest::prelude::*;
use poplarswitch_wire::{ErrorBody, ErrorCode, ErrorInfo};

#[gtest]
fn tells_pieces_end_and_error_apart() {
    let piece = r#"data: {"choices":[{"delta":{"content":"snow"}}]}"#;
    expect_that!(read_line(piece), some(eq(&Event::Text("snow".to_owned()))));
    expect_that!(read_line("data: [DONE]"), some(eq(&Event::Done)));
    let body = ErrorBody {
        error: ErrorInfo::new(ErrorCode::InDoubt, "vm1"),
    };
    let line = format!("data: {}", body.to_json());
    expect_that!(read_line(&line), some(eq(&Event::Error(body.error))));
    expect_that!(read_line(": comment"), none());
    expect_that!(read_line("data: {}"), some(eq(&Event::Empty)));
}
