use crate::{
    CallKey, CallOutcome, Core, Input, KeyText, KeyedCall, NotRunReason, Output, RunEnd, Settings,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_store::{MemoryStore, Reply, RequestId};

const ME: Incarnation = Incarnation(1);
const PEER: Incarnation = Incarnation(2);

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

/// Feeds a core and lets the platform answer; gives all other outputs.
fn feed(core: &mut Core, store: &mut MemoryStore, input: Input) -> Vec<Output> {
    let mut rest = Vec::new();
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
                other => rest.push(other),
            }
        }
    }
    rest
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
fn another_vm_finds_the_stored_answer() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(PEER));
    let out = feed(&mut first, &mut store, Input::Submit(call(ME, 1)));
    expect_that!(out, elements_are![eq(&Output::Run(call(ME, 1)))]);
    feed(
        &mut first,
        &mut store,
        end(ME, 1, RunEnd::Answered([3].into())),
    );
    let out = feed(&mut second, &mut store, Input::Submit(call(PEER, 1)));
    let answer = CallOutcome::Answer([3].into());
    expect_that!(out, elements_are![eq(&response(PEER, 1, answer))]);
}

#[gtest]
fn a_claim_whose_claimant_is_out_of_reach_is_left_open() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(PEER));
    feed(&mut first, &mut store, Input::Submit(call(ME, 1)));
    let out = feed(&mut second, &mut store, Input::Submit(call(PEER, 1)));
    expect_that!(
        out,
        elements_are![eq(&response(PEER, 1, CallOutcome::NotRunHere))]
    );
}

#[gtest]
fn a_void_claim_may_be_claimed_again() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(ME), core(PEER));
    feed(&mut first, &mut store, Input::Submit(call(ME, 1)));
    let out = feed(&mut first, &mut store, end(ME, 1, RunEnd::NotRun));
    let refused = CallOutcome::NotRun(NotRunReason::Refused);
    expect_that!(out, elements_are![eq(&response(ME, 1, refused))]);
    let out = feed(&mut second, &mut store, Input::Submit(call(PEER, 1)));
    expect_that!(out, elements_are![eq(&Output::Run(call(PEER, 1)))]);
}

#[gtest]
fn a_claim_without_an_answer_is_recognised_and_run_once() {
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
fn with_the_platform_down_nothing_runs() {
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
