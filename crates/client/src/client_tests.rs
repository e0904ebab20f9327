use crate::client::{MAX_ANSWER_BYTES, Outcome, read_body};
use googletest::prelude::*;
use std::time::Instant;
use ureq::{Body, http::Response};

/// Guards against an answer that is cut off at the limit and counts as complete.
#[gtest]
fn answer_over_the_limit_is_lost() {
    for (size, outcome) in [
        (MAX_ANSWER_BYTES, Outcome::Answered),
        (MAX_ANSWER_BYTES + 1, Outcome::Lost),
    ] {
        let body = Body::builder().data("a".repeat(size as usize));
        let report = read_body(Response::new(body), Instant::now());
        expect_that!(report.outcome, eq(outcome), "{size} bytes");
    }
}
