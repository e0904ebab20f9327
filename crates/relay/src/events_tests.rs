use crate::events::{BodyContent, EventBuffer, EventScanner};
use bytes::Bytes;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d";

/// For each chunk size, complete events are returned once and in order, and the incomplete event at
/// the end is held back.
#[gtest]
fn complete_events_are_returned_for_any_chunk_size() {
    for size in 1..STREAM.len() {
        let mut events = EventBuffer::default();
        let mut out = Vec::new();
        for chunk in STREAM.chunks(size) {
            out.extend(events.push(chunk).into_iter().flatten());
        }
        let end = STREAM.len() - b"id: 4\ndata: d".len();
        assert_that!(&*out, eq(&STREAM[..end]), "chunks of {size}");
        assert_that!(events.last_id(), some(eq("3")), "chunks of {size}");
    }
}

#[gtest]
fn incomplete_event_is_discarded() {
    let mut events = EventBuffer::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    events.discard_partial();
    let next = events.push(b"id: 2\ndata: b\n\n").unwrap();
    expect_that!(&*next, eq(b"id: 2\ndata: b\n\n"));
    expect_that!(events.last_id(), some(eq("2")));
}

/// Guards against a stream that ends inside an event and counts as complete.
#[gtest]
fn bytes_after_last_event_are_held_back_and_counted() {
    let mut content = BodyContent::Resumable(EventBuffer::default());
    let complete = content.push(Bytes::from_static(b"id: 1\ndata: a\n\ndata: b"));
    expect_that!(complete.as_deref(), some(eq(&b"id: 1\ndata: a\n\n"[..])));
    expect_that!(content.partial_len(), some(eq(7)));
    let mut content = BodyContent::Events(EventScanner::default());
    let all = content.push(Bytes::from_static(b"id: 1\ndata: a\n\ndata: b"));
    expect_that!(all.as_deref(), some(eq(&b"id: 1\ndata: a\n\ndata: b"[..])));
    expect_that!(content.partial_len(), some(eq(7)));
}

/// An event ends with an empty line, whichever line endings are used and however the body is split.
#[gtest]
fn scanner_finds_end_of_events_with_any_line_ending() {
    for separator in ["\n\n", "\r\n\r\n", "\r\r", "\n\r\n"] {
        let whole = format!("id: 1{separator}id: 2{separator}");
        for cut in 0..whole.len() {
            for size in 1..=whole.len() {
                let mut scanner = EventScanner::default();
                for chunk in whole.as_bytes()[..cut].chunks(size) {
                    scanner.push(chunk);
                }
                let rest = &whole[..cut];
                let boundary = rest.rfind(separator).map_or(0, |at| at + separator.len());
                // A separator is complete without the line feed of its last line ending.
                let ends_early = separator.ends_with("\r\n")
                    && rest.ends_with(&separator[..separator.len() - 1]);
                let partial = if ends_early { 0 } else { cut - boundary };
                assert_that!(
                    scanner.partial_len(),
                    eq(partial),
                    "{rest:?} in chunks of {size}"
                );
            }
        }
    }
}
