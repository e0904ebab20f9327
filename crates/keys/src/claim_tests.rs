use crate::{
    CallKey, CallOutcome, Core, Input, KeyText, KeyedCall, NotRunReason, Output, RunEnd, Settings,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_store::{MemoryStore, Reply, RequestId};

const ME: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);

fn core(me: Incarnation) -> Core {
    Core::new(Time::ZERO, me, 1_000, Settings::builder().build(), me.0)
}

fn call(origin: Incarnation, seq: u64) -> KeyedCall {
    KeyedCall {
        call: CallId { origin, seq },
        key: CallKey {
            workspace: "w".into(),
            text: KeyText::new("free"),
        },
        digest: 0,
        payload: [].into(),
    }
}

/// Handles an input, has the store answer all requests, and returns all other outputs.
fn handle(core: &mut Core, store: &mut MemoryStore, input: Input) -> Vec<Output> {
    let mut others = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        let mut out = Vec::new();
        core.handle(Time::ZERO, input, &mut out);
        for output in out {
            match output {
                Output::Request { id, request } => {
                    let reply = store.apply(&request);
                    inputs.push(Input::Reply { id, reply });
                }
                other => others.push(other),
            }
        }
    }
    others
}

fn response(origin: Incarnation, seq: u64, outcome: CallOutcome) -> Output {
    let call = CallId { origin, seq };
    Output::Respond { call, outcome }
}

fn end(origin: Incarnation, seq: u64, end: RunEnd) -> Input {
    let call = CallId { origin, seq };
    Input::Ended { call, end }
}

#[gtest]
fn stored_answer_is_returned_by_another_vm() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(OTHER));
    let out = handle(&mut first, &mut store, Input::Submit(call(ME, 1)));
    expect_that!(out, elements_are![eq(&Output::Run(call(ME, 1)))]);
    handle(
        &mut first,
        &mut store,
        end(ME, 1, RunEnd::Answered([3].into())),
    );
    let out = handle(&mut second, &mut store, Input::Submit(call(OTHER, 1)));
    let answer = CallOutcome::Answer([3].into());
    expect_that!(out, elements_are![eq(&response(OTHER, 1, answer))]);
}

#[gtest]
fn call_is_refused_while_the_claimant_is_unreachable() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(OTHER));
    handle(&mut first, &mut store, Input::Submit(call(ME, 1)));
    let out = handle(&mut second, &mut store, Input::Submit(call(OTHER, 1)));
    expect_that!(
        out,
        elements_are![eq(&response(OTHER, 1, CallOutcome::NotRunHere))]
    );
}

#[gtest]
fn void_claim_can_be_claimed_by_another_vm() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(OTHER));
    handle(&mut first, &mut store, Input::Submit(call(ME, 1)));
    let out = handle(&mut first, &mut store, end(ME, 1, RunEnd::NotRun));
    let refused = CallOutcome::NotRun(NotRunReason::Refused);
    expect_that!(out, elements_are![eq(&response(ME, 1, refused))]);
    let out = handle(&mut second, &mut store, Input::Submit(call(OTHER, 1)));
    expect_that!(out, elements_are![eq(&Output::Run(call(OTHER, 1)))]);
}

#[gtest]
fn claim_with_a_lost_reply_is_recognised_and_run_once() {
    let mut store = MemoryStore::new();
    let mut core = core(ME);
    let mut out = Vec::new();
    core.handle(Time::ZERO, Input::Submit(call(ME, 1)), &mut out);
    let [Output::Request { id, request }] = out.as_slice() else {
        panic!("one request expected: {out:?}");
    };
    let (id, request) = (*id, request.clone());
    store.apply(&request);
    out.clear();
    let reply = Reply::Unknown;
    core.handle(Time::ZERO, Input::Reply { id, reply }, &mut out);
    expect_that!(out, is_empty());
    core.tick(Time::ZERO + Duration::from_secs(1), &mut out);
    let reply = store.apply(&request);
    let id = RequestId(id.0 + 1);
    out.clear();
    core.handle(Time::ZERO, Input::Reply { id, reply }, &mut out);
    expect_that!(out, elements_are![eq(&Output::Run(call(ME, 1)))]);
}

#[gtest]
fn key_without_a_token_is_refused_while_the_platform_is_down() {
    let mut core = core(ME);
    let mut out = Vec::new();
    core.handle(Time::ZERO, Input::Submit(call(ME, 1)), &mut out);
    out.clear();
    let reply = Reply::Unavailable {
        retry_after: Duration::from_secs(30),
    };
    let id = RequestId(1);
    core.handle(Time::ZERO, Input::Reply { id, reply }, &mut out);
    expect_that!(
        out,
        elements_are![eq(&response(ME, 1, CallOutcome::NotRunHere))]
    );
}
