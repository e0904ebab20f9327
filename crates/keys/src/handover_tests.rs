use crate::{
    CallKey, CallOutcome, Core, Input, KeyText, KeyedCall, KeysMessage, NotRunReason, Output,
    RunEnd, Settings,
};
use googletest::prelude::*;
use poplarswitch_entity::{CallId, Incarnation, Time};
use std::collections::BTreeMap;

const LEAVING: Incarnation = Incarnation(1);
const SUCCESSOR: Incarnation = Incarnation(2);
const THIRD: Incarnation = Incarnation(3);

/// Linked VMs whose messages are delivered at once.
struct Vms(BTreeMap<Incarnation, Core>);

impl Vms {
    fn new() -> Self {
        let ids = [LEAVING, SUCCESSOR, THIRD];
        let core = |me| Core::new(Time::ZERO, me, 1_000, Settings::builder().build(), 7);
        let mut vms = Self(ids.into_iter().map(|me| (me, core(me))).collect());
        for a in ids {
            for b in ids.into_iter().filter(|b| *b != a) {
                vms.handle(a, Input::Linked(b));
            }
        }
        vms
    }

    /// Handles an input, delivers all messages that follow, and returns all other outputs.
    fn handle(&mut self, to: Incarnation, input: Input) -> Vec<Output> {
        let mut others = Vec::new();
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
                    other => others.push(other),
                }
            }
        }
        others
    }
}

fn call(origin: Incarnation, seq: u64, unique: &str) -> KeyedCall {
    let home = Core::new(Time::ZERO, LEAVING, 1_000, Settings::builder().build(), 7);
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
fn successor_returns_answers_stored_by_a_vm_that_left() {
    let mut vms = Vms::new();
    vms.handle(LEAVING, Input::Submit(call(LEAVING, 1, "a")));
    let end = RunEnd::Answered([5].into());
    let id = call(LEAVING, 1, "a").call;
    vms.handle(LEAVING, Input::Ended { call: id, end });
    vms.handle(LEAVING, Input::Leave);
    let out = vms.handle(LEAVING, Input::HandOver(vec![SUCCESSOR]));
    expect_that!(out, elements_are![eq(&Output::HandedOver(Some(SUCCESSOR)))]);
    let out = vms.handle(THIRD, Input::Submit(call(THIRD, 2, "a")));
    let outcome = CallOutcome::Answer([5].into());
    let call = CallId {
        origin: THIRD,
        seq: 2,
    };
    expect_that!(out, elements_are![eq(&Output::Respond { call, outcome })]);
}

#[gtest]
fn successor_runs_unused_keys_of_a_vm_that_left() {
    let mut vms = Vms::new();
    vms.handle(LEAVING, Input::HandOver(vec![SUCCESSOR]));
    let out = vms.handle(THIRD, Input::Submit(call(THIRD, 2, "new")));
    expect_that!(out, elements_are![eq(&Output::Run(call(THIRD, 2, "new")))]);
}

#[gtest]
fn leaving_home_refuses_new_keys() {
    let mut vms = Vms::new();
    vms.handle(LEAVING, Input::Leave);
    let out = vms.handle(THIRD, Input::Submit(call(THIRD, 2, "new")));
    let outcome = CallOutcome::NotRun(NotRunReason::Leaving);
    let call = CallId {
        origin: THIRD,
        seq: 2,
    };
    expect_that!(out, elements_are![eq(&Output::Respond { call, outcome })]);
}

#[gtest]
fn keys_are_offered_to_no_second_successor_after_the_commit() {
    let mut core = Core::new(Time::ZERO, LEAVING, 1_000, Settings::builder().build(), 7);
    let mut out = Vec::new();
    for peer in [SUCCESSOR, THIRD] {
        core.handle(Time::ZERO, Input::Linked(peer), &mut out);
    }
    core.handle(
        Time::ZERO,
        Input::HandOver(vec![SUCCESSOR, THIRD]),
        &mut out,
    );
    let message = KeysMessage::Staged;
    let staged = Input::Message {
        from: SUCCESSOR,
        message,
    };
    core.handle(Time::ZERO, staged, &mut out);
    out.clear();
    core.tick(Time::from_millis(60_000), &mut out);
    expect_that!(out, elements_are![eq(&Output::HandedOver(None))]);
}
