use crate::{
    CallKey, CallOutcome, Core, Input, KeyText, KeyedCall, KeysMessage, NotRunReason, Output,
    RunEnd, Settings,
};
use googletest::prelude::*;
use poplarswitch_entity::{CallId, Incarnation, Time};
use std::collections::BTreeMap;

const OLD: Incarnation = Incarnation(1);
const NEXT: Incarnation = Incarnation(2);
const THIRD: Incarnation = Incarnation(3);

/// Cores that hear each other at once.
struct Vms(BTreeMap<Incarnation, Core>);

impl Vms {
    fn new() -> Self {
        let ids = [OLD, NEXT, THIRD];
        let core = |me| Core::new(Time::ZERO, me, 1_000, Settings::builder().build(), 7);
        let mut vms = Self(ids.into_iter().map(|me| (me, core(me))).collect());
        for a in ids {
            for b in ids.into_iter().filter(|b| *b != a) {
                vms.feed(a, Input::Linked(b));
            }
        }
        vms
    }

    /// Feeds one core and delivers all messages that follow; gives all other outputs.
    fn feed(&mut self, to: Incarnation, input: Input) -> Vec<Output> {
        let mut rest = Vec::new();
        let mut inputs = vec![(to, input)];
        while let Some((at, input)) = inputs.pop() {
            let mut out = Vec::new();
            let core = self.0.get_mut(&at).expect("a known VM");
            core.handle(Time::ZERO, input, &mut out);
            for output in out {
                match output {
                    Output::Send { to, message } => {
                        inputs.push((to, Input::Message { from: at, message }));
                    }
                    other => rest.push(other),
                }
            }
        }
        rest
    }
}

fn call(origin: Incarnation, seq: u64, unique: &str) -> KeyedCall {
    let home = Core::new(Time::ZERO, OLD, 1_000, Settings::builder().build(), 7);
    KeyedCall {
        call: CallId { origin, seq },
        key: CallKey {
            workspace: "w".into(),
            text: KeyText::new(format!("{}.{unique}", home.token(Time::ZERO))),
        },
        digest: 0,
        payload: [].into(),
    }
}

#[gtest]
fn a_successor_answers_for_the_keys_of_a_vm_that_left() {
    let mut vms = Vms::new();
    vms.feed(OLD, Input::Submit(call(OLD, 1, "a")));
    let end = RunEnd::Answered([5].into());
    let id = call(OLD, 1, "a").call;
    vms.feed(OLD, Input::Ended { call: id, end });
    vms.feed(OLD, Input::Leave);
    let out = vms.feed(OLD, Input::HandOver(vec![NEXT]));
    expect_that!(out, elements_are![eq(&Output::HandedOver(Some(NEXT)))]);
    let out = vms.feed(THIRD, Input::Submit(call(THIRD, 2, "a")));
    let outcome = CallOutcome::Answer([5].into());
    let call = CallId {
        origin: THIRD,
        seq: 2,
    };
    expect_that!(out, elements_are![eq(&Output::Respond { call, outcome })]);
}

#[gtest]
fn a_successor_runs_keys_that_were_never_used() {
    let mut vms = Vms::new();
    vms.feed(OLD, Input::HandOver(vec![NEXT]));
    let out = vms.feed(THIRD, Input::Submit(call(THIRD, 2, "new")));
    expect_that!(out, elements_are![eq(&Output::Run(call(THIRD, 2, "new")))]);
}

#[gtest]
fn a_leaving_home_claims_nothing_new() {
    let mut vms = Vms::new();
    vms.feed(OLD, Input::Leave);
    let out = vms.feed(THIRD, Input::Submit(call(THIRD, 2, "new")));
    let outcome = CallOutcome::NotRun(NotRunReason::Leaving);
    let call = CallId {
        origin: THIRD,
        seq: 2,
    };
    expect_that!(out, elements_are![eq(&Output::Respond { call, outcome })]);
}

#[gtest]
fn after_the_commit_no_second_successor_is_asked() {
    let mut core = Core::new(Time::ZERO, OLD, 1_000, Settings::builder().build(), 7);
    let mut out = Vec::new();
    for peer in [NEXT, THIRD] {
        core.handle(Time::ZERO, Input::Linked(peer), &mut out);
    }
    core.handle(Time::ZERO, Input::HandOver(vec![NEXT, THIRD]), &mut out);
    let message = KeysMessage::Staged;
    let staged = Input::Message {
        from: NEXT,
        message,
    };
    core.handle(Time::ZERO, staged, &mut out);
    out.clear();
    core.tick(Time::from_millis(60_000), &mut out);
    expect_that!(out, elements_are![eq(&Output::HandedOver(None))]);
}
