use crate::{Envelope, Greeting, Hello, KeyedAnswer, PeerMessage, decode, encode};
use poplarswitch_entity::{Generation, Incarnation};
use poplarswitch_fuzz::{any_bytes, config, edited_binary};
use poplarswitch_members::{Identity, MembersMessage};
use poplarswitch_publish::{Blob, PublishMessage};
use poplarswitch_timeline::Stamp;
use proptest::prelude::*;
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt::Debug, thread};

/// Stack size of the threads that decode frames.
const STACK_BYTES: usize = 512 * 1024;

fn identity() -> Identity {
    Identity::builder()
        .vm("vm-1")
        .incarnation(Incarnation(7))
        .started(5)
        .data_centre("ifrane")
        .cell("atlas")
        .address(([127, 0, 0, 1], 1).into())
        .caller_address(([127, 0, 0, 1], 2).into())
        .build()
}

fn bytes(value: &impl Serialize) -> Vec<u8> {
    encode(value).expect("encodes")
}

fn envelope(message: PeerMessage) -> Vec<u8> {
    let at = Stamp {
        wall_ms: 1_000,
        count: 3,
    };
    bytes(&Envelope { at, message })
}

fn hello() -> Vec<u8> {
    bytes(&Hello {
        identity: identity(),
        proof: vec![1, 2, 3],
    })
}

fn members() -> Vec<u8> {
    let message = MembersMessage::Identities(vec![identity(), identity()]);
    envelope(PeerMessage::Members(message))
}

fn publish() -> Vec<u8> {
    let message = PublishMessage::Blobs(vec![Blob("[]".into()), Blob("{}".into())]);
    envelope(PeerMessage::Publish(message))
}

fn request() -> Vec<u8> {
    envelope(PeerMessage::Publish(PublishMessage::Ask(Generation(4))))
}

fn answer() -> Vec<u8> {
    bytes(&KeyedAnswer {
        status: 200,
        content_type: Some(b"text/plain".to_vec()),
        body: vec![7; 20],
    })
}

/// Checks that a value that can be decoded survives an encoding and a second decoding.
fn check_round_trip<T>(frame: &[u8]) -> Result<(), TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    if let Ok(value) = decode::<T>(frame) {
        prop_assert_eq!(decode::<T>(&bytes(&value)).ok(), Some(value));
    }
    Ok(())
}

proptest! {
    #![proptest_config(config(20))]

    #[test]
    fn edited_greetings_are_decoded_or_refused(frame in edited_binary(&hello())) {
        check_round_trip::<Hello>(&frame)?;
        check_round_trip::<Greeting>(&frame)?;
    }

    #[test]
    fn edited_messages_are_decoded_or_refused(
        members in edited_binary(&members()),
        publish in edited_binary(&publish()),
        request in edited_binary(&request()),
    ) {
        check_round_trip::<Envelope>(&members)?;
        check_round_trip::<Envelope>(&publish)?;
        check_round_trip::<Envelope>(&request)?;
    }

    #[test]
    fn edited_answers_are_decoded_or_refused(frame in edited_binary(&answer())) {
        check_round_trip::<KeyedAnswer>(&frame)?;
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(frame in any_bytes()) {
        check_round_trip::<Envelope>(&frame)?;
        check_round_trip::<Hello>(&frame)?;
        check_round_trip::<KeyedAnswer>(&frame)?;
    }
}

/// Decodes a frame on a thread with the stack size of the threads that decode frames, and
/// returns whether it is refused. A frame that overflows the stack would abort the test.
fn is_refused(frame: Vec<u8>) -> bool {
    let read =
        move || decode::<Envelope>(&frame).is_err() && decode::<KeyedAnswer>(&frame).is_err();
    let reader = thread::Builder::new().stack_size(STACK_BYTES).spawn(read);
    reader.expect("thread starts").join().expect("no panic")
}

#[test]
fn deeply_nested_frame_is_refused() {
    for opening in [0x81, 0xa1, 0x9f, 0xbf, 0xc1] {
        assert!(is_refused(vec![opening; 1_000_000]), "{opening:x}");
    }
    let mut frame = answer();
    let index = frame.windows(4).position(|window| window == b"body");
    frame.truncate(index.expect("the field is present") + 4);
    frame.extend(vec![0x81; 100_000]);
    assert!(is_refused(frame));
}

#[test]
fn length_beyond_the_end_of_the_frame_is_refused() {
    for head in [0x5b, 0x7b, 0x9b, 0xbb] {
        for length in [u64::MAX, u64::MAX / 2, 1 << 40] {
            let mut frame = vec![head];
            frame.extend(length.to_be_bytes());
            assert!(is_refused(frame), "{head:x} {length}");
        }
    }
}
