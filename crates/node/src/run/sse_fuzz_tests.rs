use crate::run::sse::{Splitter, SseEvent};
use poplarswitch_fuzz::{any_bytes, config, edited_json};
use proptest::{collection::vec, prelude::*};

const STREAM: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    : comment\r\n\r\nevent: error\ndata: {\"error\":{\"code\":1}}\n\ndata: [DONE]\n\n";

fn events(pieces: &[&[u8]]) -> Vec<SseEvent> {
    let mut splitter = Splitter::default();
    let mut found = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        found.extend(core::iter::from_fn(|| splitter.next_event()));
    }
    found
}

/// Cuts a stream at the places given.
fn cut<'a>(stream: &'a [u8], sizes: &[usize]) -> Vec<&'a [u8]> {
    let mut rest = stream;
    let mut pieces = Vec::new();
    for size in sizes {
        let (piece, later) = rest.split_at((*size).min(rest.len()));
        pieces.push(piece);
        rest = later;
    }
    pieces.push(rest);
    pieces
}

fn judge(stream: &[u8], sizes: &[usize]) -> Result<(), TestCaseError> {
    let whole = events(&[stream]);
    let text: Vec<u8> = whole.iter().flat_map(|event| event.text.to_vec()).collect();
    prop_assert!(stream.starts_with(&text), "bytes were changed or left out");
    prop_assert_eq!(events(&cut(stream, sizes)), whole);
    Ok(())
}

proptest! {
    #![proptest_config(config(21))]

    #[test]
    fn pieces_do_not_change_the_events(
        stream in edited_json(STREAM),
        sizes in vec(0..9_usize, 0..40),
    ) {
        judge(&stream, &sizes)?;
    }

    #[test]
    fn any_bytes_are_passed_on_as_they_came(
        stream in any_bytes(),
        sizes in vec(0..9_usize, 0..40),
    ) {
        judge(&stream, &sizes)?;
    }
}
