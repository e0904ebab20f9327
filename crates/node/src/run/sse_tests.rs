use crate::run::sse::{Kind, Splitter};
use googletest::prelude::*;

fn kinds(parts: &[&str]) -> Vec<Kind> {
    let mut splitter = Splitter::default();
    let mut kinds = Vec::new();
    for part in parts {
        splitter.push(part.as_bytes());
        while let Some(event) = splitter.next_event() {
            kinds.push(event.kind);
        }
    }
    kinds
}

#[gtest]
fn an_event_may_come_in_pieces() {
    let token = Kind::Chunk { tokens: 1 };
    let found = kinds(&[
        "data: {\"choices\":[{\"delta\":{\"con",
        "tent\":\"a\"}}]}\n",
        "\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DO",
        "NE]\n\n",
    ]);
    expect_that!(found, eq(&[token, token, Kind::Done]));
}

#[gtest]
fn text_that_mentions_the_end_is_no_end() {
    let found = kinds(&["data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"}}]}\n\n"]);
    expect_that!(found, eq(&[Kind::Chunk { tokens: 1 }]));
}

#[gtest]
fn errors_come_as_event_or_as_data() {
    let found = kinds(&[
        "event: error\ndata: {}\n\n",
        "data: {\"error\":{\"message\":\"x\"}}\n\n",
        ": comment\r\n\r\n",
        "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n",
    ]);
    expect_that!(
        found,
        eq(&[
            Kind::Error,
            Kind::Error,
            Kind::Other,
            Kind::Chunk { tokens: 0 }
        ])
    );
}
