use crate::run::sse::{Kind, Splitter};
use googletest::prelude::*;

fn kinds(chunks: &[&str]) -> Vec<Kind> {
    let mut splitter = Splitter::default();
    let mut kinds = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event() {
            kinds.push(event.kind);
        }
    }
    kinds
}

#[gtest]
fn event_split_across_reads_is_reassembled() {
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
fn end_marker_inside_content_is_not_the_end() {
    let found = kinds(&["data: {\"choices\":[{\"delta\":{\"content\":\"[DONE]\"}}]}\n\n"]);
    expect_that!(found, eq(&[Kind::Chunk { tokens: 1 }]));
}

#[gtest]
fn errors_are_recognised_in_event_name_and_in_data() {
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
