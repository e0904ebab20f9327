use crate::{
    CallKey, CallOutcome, Core, Input, KeyText, KeyedCall, KeysMessage, NotRunReason, Output,
    RunEnd, Settings,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{CallId, Incarnation, Time};
use std::sync::Arc;

const HOME: Incarnation = Incarnation(1);
const OTHER: Incarnation = Incarnation(2);
const START: Time = Time::ZERO;

fn core(me: Incarnation) -> Core {
    Core::new(START, me, 1_000, Settings::builder().build(), 7)
}

fn call(seq: u64, digest: u64) -> KeyedCall {
    let token = core(HOME).token(START);
    KeyedCall {
        call: CallId { origin: OTHER, seq },
        key: CallKey {
            workspace: "w".into(),
            text: KeyText::new(format!("{token}.a")),
        },
        digest,
        payload: [].into(),
    }
}

fn handle(core: &mut Core, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    core.handle(START, input, &mut out);
    out
}

fn response(seq: u64, outcome: CallOutcome) -> Output {
    let call = CallId { origin: OTHER, seq };
    Output::Respond { call, outcome }
}

fn end(seq: u64, end: RunEnd) -> Input {
    let call = CallId { origin: OTHER, seq };
    Input::Ended { call, end }
}

#[gtest]
fn repeated_call_gets_the_stored_answer() {
    let mut core = core(HOME);
    let answer: Arc<[u8]> = [4].into();
    handle(&mut core, Input::Submit(call(1, 0)));
    handle(&mut core, end(1, RunEnd::Answered(Arc::clone(&answer))));
    let out = handle(&mut core, Input::Submit(call(2, 0)));
    expect_that!(
        out,
        elements_are![eq(&response(2, CallOutcome::Answer(answer)))]
    );
}

#[gtest]
fn concurrent_calls_with_one_key_run_once_and_share_the_outcome() {
    let mut core = core(HOME);
    handle(&mut core, Input::Submit(call(1, 0)));
    expect_that!(handle(&mut core, Input::Submit(call(2, 0))), is_empty());
    let out = handle(&mut core, end(1, RunEnd::InDoubt));
    let outcome = [
        response(1, CallOutcome::InDoubt),
        response(2, CallOutcome::InDoubt),
    ];
    expect_that!(out, eq(&outcome.to_vec()));
}

#[gtest]
fn key_that_was_not_run_runs_only_for_a_new_call() {
    let mut core = core(HOME);
    handle(&mut core, Input::Submit(call(1, 0)));
    let refused = CallOutcome::NotRun(NotRunReason::Refused);
    let out = handle(&mut core, end(1, RunEnd::NotRun));
    expect_that!(out, elements_are![eq(&response(1, refused.clone()))]);
    let out = handle(&mut core, Input::Submit(call(1, 0)));
    expect_that!(out, elements_are![eq(&response(1, refused))]);
    let out = handle(&mut core, Input::Submit(call(2, 0)));
    expect_that!(out, elements_are![eq(&Output::Run(call(2, 0)))]);
}

#[gtest]
fn key_with_another_digest_is_a_mismatch() {
    let mut core = core(HOME);
    handle(&mut core, Input::Submit(call(1, 0)));
    let out = handle(&mut core, Input::Submit(call(2, 9)));
    expect_that!(out, elements_are![eq(&response(2, CallOutcome::Mismatch))]);
}

#[gtest]
fn call_is_refused_without_a_link_to_the_home() {
    let mut core = core(OTHER);
    let out = handle(&mut core, Input::Submit(call(1, 0)));
    expect_that!(
        out,
        elements_are![eq(&response(1, CallOutcome::NotRunHere))]
    );
}

#[gtest]
fn forwarded_call_is_in_doubt_when_the_link_stays_closed() {
    let mut core = core(OTHER);
    handle(&mut core, Input::Linked(HOME));
    handle(&mut core, Input::Submit(call(1, 0)));
    handle(&mut core, Input::Unlinked(HOME));
    let mut out = Vec::new();
    core.tick(START + Duration::from_secs(4), &mut out);
    expect_that!(out, elements_are![eq(&response(1, CallOutcome::InDoubt))]);
}

#[gtest]
fn call_is_forwarded_again_when_the_link_reopens() {
    let mut core = core(OTHER);
    handle(&mut core, Input::Linked(HOME));
    handle(&mut core, Input::Submit(call(1, 0)));
    handle(&mut core, Input::Unlinked(HOME));
    let out = handle(&mut core, Input::Linked(HOME));
    let message = KeysMessage::Forward(call(1, 0));
    expect_that!(out, elements_are![eq(&Output::Send { to: HOME, message })]);
}

#[gtest]
fn key_older_than_the_retention_is_refused() {
    let mut core = core(HOME);
    let mut out = Vec::new();
    let late = START + Duration::from_mins(200);
    core.handle(late, Input::Submit(call(1, 0)), &mut out);
    expect_that!(
        out,
        elements_are![eq(&response(1, CallOutcome::NotRunHere))]
    );
}
