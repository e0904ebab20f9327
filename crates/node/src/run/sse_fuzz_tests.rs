use crate::run::sse::{Splitter, SseEvent};
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::{collection::vec, prelude::*};

const STREAM: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    : comment\r\n\r\nevent: error\ndata: {\"error\":{\"code\":1}}\n\ndata: [DONE]\n\n";

fn events(parts: &[&[u8]]) -> Vec<SseEvent> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        events.extend(core::iter::from_fn(|| splitter.next_event()));
    }
    events
}

/// Cuts a stream at the places given.
fn split<'a>(stream: &'a [u8], sizes: &[usize]) -> Vec<&'a [u8]> {
    let mut rest = stream;
    let mut parts = Vec::new();
    for size in sizes {
        let (part, remainder) = rest.split_at((*size).min(rest.len()));
        parts.push(part);
        rest = remainder;
    }
    parts.push(rest);
    parts
}

fn check(stream: &[u8], sizes: &[usize]) -> Result<(), TestCaseError> {
    let whole = events(&[stream]);
    let bytes: Vec<u8> = whole
        .iter()
        .flat_map(|event| event.bytes.to_vec())
        .collect();
    prop_assert!(stream.starts_with(&bytes), "bytes were changed or left out");
    prop_assert_eq!(events(&split(stream, sizes)), whole);
    Ok(())
}

proptest! {
    #![proptest_config(config(21))]

    #[test]
    fn pieces_do_not_change_the_events(
        stream in edited_json(STREAM),
        sizes in vec(0..9_usize, 0..40),
    ) {
        check(&stream, &sizes)?;
    }

    #[test]
    fn any_bytes_are_passed_on_as_they_came(
        stream in any_bytes(),
        sizes in vec(0..9_usize, 0..40),
    ) {
        check(&stream, &sizes)?;
    }
}
