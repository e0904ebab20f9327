use crate::{Core, Input, Output, Settings};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{FencingNumber, Incarnation, Time};
use poplarswitch_store::{MemoryStore, Reply, Request};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn core(incarnation: Incarnation) -> Core {
    Core::new(incarnation, Settings::builder().build(), incarnation.0)
}

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

/// Runs a tick and the requests that follow from it; `answer` may change the platform's replies.
fn run_tick(
    core: &mut Core,
    store: &mut MemoryStore,
    now: Time,
    mut answer: impl FnMut(&Request, Reply) -> Reply,
) {
    let mut out = Vec::new();
    core.tick(now, &mut out);
    run(core, store, now, out, &mut answer);
}

fn run(
    core: &mut Core,
    store: &mut MemoryStore,
    now: Time,
    mut out: Vec<Output>,
    answer: &mut impl FnMut(&Request, Reply) -> Reply,
) {
    while let Some(output) = out.pop() {
        if let Output::Request { id, request } = output {
            let reply = store.apply(&request);
            let reply = answer(&request, reply);
            core.handle(now, Input::Reply { id, reply }, &mut out);
        }
    }
}

fn run_plain_tick(core: &mut Core, store: &mut MemoryStore, now: Time) {
    run_tick(core, store, now, |_, reply| reply);
}

#[gtest]
fn only_one_vm_holds_the_lease() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    run_plain_tick(&mut first, &mut store, at(0));
    run_plain_tick(&mut second, &mut store, at(1));
    expect_that!(first.fencing(at(1)), some(eq(FencingNumber(1))));
    expect_that!(second.fencing(at(1)), none());
}

#[gtest]
fn lease_expires_one_duration_after_the_write_was_sent() {
    let mut store = MemoryStore::new();
    let mut first = core(FIRST);
    run_plain_tick(&mut first, &mut store, at(0));
    expect_that!(first.fencing(at(29)), some(anything()));
    expect_that!(first.fencing(at(30)), none());
}

#[gtest]
fn expired_lease_is_taken_over_with_a_higher_fencing_number() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    run_plain_tick(&mut first, &mut store, at(0));
    for seconds in 1..=31 {
        run_plain_tick(&mut second, &mut store, at(seconds));
        if seconds < 31 {
            expect_that!(second.fencing(at(seconds)), none());
        }
    }
    expect_that!(second.fencing(at(31)), some(eq(FencingNumber(2))));
}

#[gtest]
fn lease_write_without_an_answer_is_found_by_its_nonce() {
    let mut store = MemoryStore::new();
    let mut first = core(FIRST);
    run_tick(
        &mut first,
        &mut store,
        at(0),
        |request, reply| match request {
            Request::Put { .. } => Reply::Unknown,
            _ => reply,
        },
    );
    expect_that!(first.fencing(at(0)), none());
    run_plain_tick(&mut first, &mut store, at(2));
    expect_that!(first.fencing(at(2)), some(eq(FencingNumber(1))));
    expect_that!(first.fencing(at(30)), none());
}

#[gtest]
fn leaving_holder_releases_the_lease() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    run_plain_tick(&mut first, &mut store, at(0));
    let mut out = Vec::new();
    first.handle(at(1), Input::Leave, &mut out);
    run(&mut first, &mut store, at(1), out, &mut |_, reply| reply);
    for seconds in 2..=20 {
        run_plain_tick(&mut first, &mut store, at(seconds));
        run_plain_tick(&mut second, &mut store, at(seconds));
    }
    expect_that!(first.fencing(at(20)), none());
    expect_that!(second.fencing(at(20)), some(anything()));
}
