use crate::{Drain, Input, Output, Phase, Settings};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

fn drain() -> Drain {
    Drain::new(Settings::builder().build())
}

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

#[gtest]
fn drain_waits_for_calls_in_flight_without_limit() {
    let mut drain = drain();
    let mut out = Vec::new();
    expect_that!(drain.admit(), eq(true));
    drain.handle(at(0), Input::Stop, &mut out);
    expect_that!(out, elements_are![eq(&Output::Leave)]);
    expect_that!(drain.admit(), eq(false));
    drain.tick(at(3_600), &mut out);
    expect_that!(drain.phase(), eq(Phase::Draining));
    expect_that!(drain.next_wake(at(3_600)), none());
    drain.end();
    drain.tick(at(3_601), &mut out);
    drain.handle(at(3_602), Input::HandedOver, &mut out);
    expect_that!(out.last(), some(eq(&Output::Exit { cut: 0 })));
}

#[gtest]
fn drain_lasts_for_the_linger_without_calls_in_flight() {
    let mut drain = drain();
    let mut out = Vec::new();
    drain.handle(at(0), Input::Stop, &mut out);
    drain.tick(at(5), &mut out);
    expect_that!(drain.phase(), eq(Phase::Draining));
    drain.tick(at(6), &mut out);
    expect_that!(out.last(), some(eq(&Output::HandOver)));
}

#[gtest]
fn second_signal_limits_the_drain() {
    let mut drain = drain();
    let mut out = Vec::new();
    drain.admit();
    drain.handle(at(0), Input::Stop, &mut out);
    drain.handle(at(20), Input::Stop, &mut out);
    drain.tick(at(29), &mut out);
    expect_that!(drain.phase(), eq(Phase::Draining));
    drain.tick(at(30), &mut out);
    expect_that!(out.last(), some(eq(&Output::Exit { cut: 1 })));
}

#[gtest]
fn exit_does_not_wait_longer_than_the_handover_timeout() {
    let mut drain = drain();
    let mut out = Vec::new();
    drain.handle(at(0), Input::Stop, &mut out);
    drain.tick(at(6), &mut out);
    drain.tick(at(16), &mut out);
    expect_that!(out.last(), some(eq(&Output::Exit { cut: 0 })));
}
