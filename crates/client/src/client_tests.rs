use crate::client::{MAX_ANSWER_BYTES, Outcome, read_body, read_stream};
use core::time::Duration;
use googletest::prelude::*;
use std::{
    io::{self, Read},
    thread,
    time::Instant,
};
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

/// Reader of two pieces of a stream with a pause before the end of each.
#[derive(Debug)]
struct SlowStream {
    pieces: Vec<&'static str>,
}

impl Read for SlowStream {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.pieces.is_empty() {
            return Ok(0);
        }
        thread::sleep(PAUSE);
        let piece = self.pieces.remove(0).as_bytes();
        buf[..piece.len()].copy_from_slice(piece);
        Ok(piece.len())
    }
}

const PAUSE: Duration = Duration::from_millis(20);
const TEXT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"snow\"}}]}\n\n";

#[gtest]
fn longest_pause_of_a_stream_that_was_broken_off_is_reported() {
    let pieces = vec![TEXT, TEXT, ": nothing\n\n"];
    let body = Body::builder().reader(SlowStream { pieces });
    let report = read_stream(Response::new(body), Instant::now());
    expect_that!(report.outcome, eq(Outcome::Lost));
    expect_that!(report.text_events, eq(2));
    expect_that!(report.is_broken_off(), eq(true));
    expect_that!(report.longest_pause, some(ge(PAUSE)));
}
