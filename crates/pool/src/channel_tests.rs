use crate::{Counters, Frame, SessionNumber, channel::Channel};
use googletest::prelude::*;
use poplarswitch_entity::Time;

type End = Channel<u32, u32>;

fn pair() -> (End, End) {
    let session = SessionNumber(1);
    (
        Channel::open(session, Time::ZERO),
        Channel::open(session, Time::ZERO),
    )
}

fn flush(end: &mut End, millis: u64) -> Option<Frame<u32>> {
    end.flush(Time::from_millis(millis), &mut Counters::default())
}

#[gtest]
fn repeated_frame_delivers_its_items_once() {
    let (mut a, mut b) = pair();
    a.push(1);
    let frame = flush(&mut a, 0).expect("an item is due");
    expect_that!(b.receive(Time::ZERO, frame.clone()), elements_are![eq(&1)]);
    expect_that!(b.receive(Time::ZERO, frame), is_empty());
}

#[gtest]
fn frame_after_lost_frame_is_dropped_until_retransmission() {
    let (mut a, mut b) = pair();
    a.push(1);
    let _lost = flush(&mut a, 0).expect("the first item is due");
    a.push(2);
    let early = flush(&mut a, 1).expect("the second item is due");
    expect_that!(b.receive(Time::from_millis(2), early), is_empty());
    expect_that!(flush(&mut a, 30), none());
    let again = flush(&mut a, 61).expect("the resend is due");
    let items = b.receive(Time::from_millis(62), again);
    expect_that!(items, elements_are![eq(&1), eq(&2)]);
}

#[gtest]
fn acknowledgement_makes_sender_idle() {
    let (mut a, mut b) = pair();
    a.push(1);
    let frame = flush(&mut a, 0).expect("an item is due");
    b.receive(Time::ZERO, frame);
    expect_that!(flush(&mut b, 10), none());
    let ack = flush(&mut b, 20).expect("the acknowledgement is due");
    a.receive(Time::from_millis(21), ack);
    expect_that!(a.is_idle(), eq(true));
    expect_that!(a.next_wake(), none());
}

#[gtest]
fn probe_gets_an_immediate_reply() {
    let (mut a, mut b) = pair();
    a.probe();
    let frame = flush(&mut a, 0).expect("the probe is due");
    expect_that!(a.awaiting_since(), some(eq(Time::ZERO)));
    b.receive(Time::ZERO, frame);
    let reply = flush(&mut b, 0).expect("the reply is due");
    a.receive(Time::from_millis(1), reply);
    expect_that!(a.awaiting_since(), none());
}
