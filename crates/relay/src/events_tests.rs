use crate::events::Events;
use googletest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d";

/// Whatever the pieces, the whole events come out once and in order, and the rest is kept back.
#[gtest]
fn events_are_whole_however_the_bytes_come() {
    for size in 1..STREAM.len() {
        let mut events = Events::default();
        let mut out = Vec::new();
        for piece in STREAM.chunks(size) {
            out.extend(events.push(piece).into_iter().flatten());
        }
        let end = STREAM.len() - b"id: 4\ndata: d".len();
        assert_that!(&*out, eq(&STREAM[..end]), "pieces of {size}");
        assert_that!(events.last(), some(eq("3")), "pieces of {size}");
    }
}

#[gtest]
fn an_event_that_broke_off_is_forgotten() {
    let mut events = Events::default();
    events.push(b"id: 1\ndata: a\n\nid: 2\nda");
    events.restart();
    let next = events.push(b"id: 2\ndata: b\n\n").unwrap();
    expect_that!(&*next, eq(b"id: 2\ndata: b\n\n"));
    expect_that!(events.last(), some(eq("2")));
}

#[gtest]
fn bytes_after_the_last_event_are_passed_on_at_a_whole_end() {
    let mut events = Events::default();
    events.push(b"id: 1\ndata: a\n\ndata: b");
    expect_that!(events.finish().as_deref(), some(eq(&b"data: b"[..])));
    expect_that!(events.finish(), none());
}
