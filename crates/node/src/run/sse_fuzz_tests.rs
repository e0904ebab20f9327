use crate::run::sse::{Splitter, SseEvent};
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::{collection::vec, prelude::*};

const STREAM: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    : comment\r\n\r\nevent: error\ndata: {\"error\":{\"code\":1}}\n\ndata: [DONE]\n\n";

fn events(chunks: &[&[u8]]) -> Vec<SseEvent> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        events.extend(core::iter::from_fn(|| splitter.next_event()));
    }
    events
}

/// Splits a stream into chunks of the given sizes and the remainder.
fn split<'a>(stream: &'a [u8], sizes: &[usize]) -> Vec<&'a [u8]> {
    let mut rest = stream;
    let mut chunks = Vec::new();
    for size in sizes {
        let (chunk, remainder) = rest.split_at((*size).min(rest.len()));
        chunks.push(chunk);
        rest = remainder;
    }
    chunks.push(rest);
    chunks
}

fn check(stream: &[u8], sizes: &[usize]) -> Result<(), TestCaseError> {
    let whole = events(&[stream]);
    let bytes: Vec<u8> = whole
        .iter()
        .flat_map(|event| event.bytes.to_vec())
        .collect();
    prop_assert!(
        stream.starts_with(&bytes),
        "the events have changed or omitted bytes"
    );
    prop_assert_eq!(events(&split(stream, sizes)), whole);
    Ok(())
}

proptest! {
    #![proptest_config(config(21))]

    #[test]
    fn chunk_boundaries_do_not_change_the_events(
        stream in edited_json(STREAM),
        sizes in vec(0..9_usize, 0..40),
    ) {
        check(&stream, &sizes)?;
    }

    #[test]
    fn arbitrary_bytes_are_passed_on_unchanged(
        stream in any_bytes(),
        sizes in vec(0..9_usize, 0..40),
    ) {
        check(&stream, &sizes)?;
    }
}
