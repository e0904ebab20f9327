use crate::{Envelope, Greeting, KeyedAnswer, PROTOCOL, PeerMessage, decode, encode};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;
use poplarswitch_members::MembersMessage;
use poplarswitch_timeline::Stamp;

#[gtest]
fn message_survives_encoding_and_decoding() {
    let envelope = Envelope {
        at: Stamp::START,
        message: PeerMessage::Members(MembersMessage::DigestRequest(vec![Incarnation(7)])),
    };
    let bytes = encode(&envelope).expect("encodes");
    expect_that!(decode::<Envelope>(&bytes), ok(eq(&envelope)));
}

#[gtest]
fn truncated_or_mismatched_frame_is_refused() {
    let greeting = Greeting {
        protocol: PROTOCOL,
        nonce: 9,
    };
    let bytes = encode(&greeting).expect("encodes");
    expect_that!(
        decode::<Greeting>(&bytes[..bytes.len() - 1]),
        err(anything())
    );
    expect_that!(decode::<Envelope>(&bytes), err(anything()));
}

#[gtest]
fn body_is_encoded_without_expansion() {
    let answer = KeyedAnswer {
        status: 200,
        content_type: None,
        body: vec![200; 10_000],
    };
    let bytes = encode(&answer).expect("encodes");
    expect_that!(bytes.len(), lt(10_100));
    expect_that!(decode::<KeyedAnswer>(&bytes), ok(eq(&answer)));
}
