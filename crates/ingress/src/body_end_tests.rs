//! Random answers that pass random chains of hops, compared with what the endpoint sent.

use crate::body_end::{EndedBody, EventScanner, Framing};
use googletest::prelude::*;
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 20_000;
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];

/// Appearance of an answer to its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Answer {
    framing: Framing,
    body: Vec<u8>,
    /// Whether it ended by its framing; a connection without length and chunks that was not reset
    /// did.
    framed_end: bool,
}

impl Answer {
    /// Whether a receiver that knows the protocol must take it as complete.
    fn looks_whole(&self, is_stream: bool) -> bool {
        let text = String::from_utf8(self.body.clone()).unwrap();
        let text = text.replace("\r\n", "\n").replace('\r', "\n");
        let inside_event = is_stream && !text.is_empty() && !text.ends_with("\n\n");
        let only_head = self.framing == Framing::Close && self.body.is_empty();
        self.framed_end && !inside_event && !only_head
    }

    fn is_certain(&self) -> bool {
        self.framing != Framing::Close
    }
}

/// What a hop sends for an answer that it receives in random pieces.
fn forward(rng: &mut Pcg64Mcg, received: &Answer, is_stream: bool) -> Answer {
    let forwarded = match received.framing {
        Framing::Length if is_stream => Framing::Chunked,
        framing => framing,
    };
    let mut scanner = EventScanner::default();
    let mut rest = received.body.as_slice();
    while !rest.is_empty() {
        let (piece, later) = rest.split_at(rng.random_range(1..=rest.len()));
        scanner.push(piece);
        rest = later;
    }
    let ended = EndedBody {
        framing: received.framing,
        received: received.body.len(),
        partial: is_stream.then(|| scanner.partial_len()),
    };
    Answer {
        framing: forwarded,
        body: received.body.clone(),
        framed_end: received.framed_end && ended.problem(forwarded).is_none(),
    }
}

fn draw_answer(rng: &mut Pcg64Mcg, is_stream: bool) -> Answer {
    let mut body = String::new();
    for id in 0..rng.random_range(0..4_u32) {
        let line = ["\n", "\r\n", "\r"].choose(rng).unwrap();
        body += &["id: ", &id.to_string(), line, "data: text", line, line].concat();
    }
    if !is_stream || rng.random_ratio(1, 3) {
        body.push_str("data: par");
    }
    if rng.random_ratio(1, 3) {
        body.truncate(rng.random_range(0..=body.len()));
    }
    Answer {
        framing: *FRAMINGS.choose(rng).unwrap(),
        body: body.into_bytes(),
        framed_end: rng.random_ratio(2, 3),
    }
}

/// No chain of hops makes a broken answer look whole, or an uncertain end look certain.
#[gtest]
fn answer_looks_no_more_complete_after_any_hops() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let is_stream = rng.random();
        let sent = draw_answer(&mut rng, is_stream);
        let mut seen = sent.clone();
        for _ in 0..rng.random_range(1..=3) {
            seen = forward(&mut rng, &seen, is_stream);
        }
        let case = format!("seed {seed}: {sent:?} became {seen:?}");
        assert_that!(
            seen.looks_whole(is_stream),
            eq(sent.looks_whole(is_stream)),
            "{case}"
        );
        assert_that!(seen.is_certain(), eq(sent.is_certain()), "{case}");
    }
}

/// A resumed answer whose last part has an uncertain end must not end a response that is framed.
#[gtest]
fn uncertain_end_does_not_complete_a_framed_response() {
    let ended = |framing| EndedBody {
        framing,
        received: 9,
        partial: Some(0),
    };
    for forwarded in [Framing::Length, Framing::Chunked] {
        expect_that!(ended(Framing::Close).problem(forwarded), some(anything()));
    }
    for framing in FRAMINGS {
        expect_that!(ended(framing).problem(Framing::Close), none());
    }
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
