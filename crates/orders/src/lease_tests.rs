use crate::{Core, Input, Output, Settings};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{FencingNumber, Incarnation, Time};
use poplarswitch_store::{MemoryStore, Reply, Request};

const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);

fn core(me: Incarnation) -> Core {
    Core::new(me, Settings::builder().build(), me.0)
}

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

/// Lets a core act until it asks nothing more; `answer` may change the platform's replies.
fn act(
    core: &mut Core,
    store: &mut MemoryStore,
    now: Time,
    mut answer: impl FnMut(&Request, Reply) -> Reply,
) {
    let mut out = Vec::new();
    core.tick(now, &mut out);
    settle(core, store, now, out, &mut answer);
}

fn settle(
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

fn plain(core: &mut Core, store: &mut MemoryStore, now: Time) {
    act(core, store, now, |_, reply| reply);
}

#[gtest]
fn one_vm_holds_the_lease() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    plain(&mut first, &mut store, at(0));
    plain(&mut second, &mut store, at(1));
    expect_that!(first.fencing(at(1)), some(eq(FencingNumber(1))));
    expect_that!(second.fencing(at(1)), none());
}

#[gtest]
fn a_holder_counts_from_before_its_write() {
    let mut store = MemoryStore::new();
    let mut first = core(FIRST);
    plain(&mut first, &mut store, at(0));
    expect_that!(first.fencing(at(29)), some(anything()));
    expect_that!(first.fencing(at(30)), none());
}

#[gtest]
fn a_lapsed_lease_is_taken_over_with_a_higher_number() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    plain(&mut first, &mut store, at(0));
    for seconds in 1..=31 {
        plain(&mut second, &mut store, at(seconds));
        if seconds < 31 {
            expect_that!(second.fencing(at(seconds)), none());
        }
    }
    expect_that!(second.fencing(at(31)), some(eq(FencingNumber(2))));
}

#[gtest]
fn a_write_whose_answer_was_lost_is_recognised() {
    let mut store = MemoryStore::new();
    let mut first = core(FIRST);
    act(
        &mut first,
        &mut store,
        at(0),
        |request, reply| match request {
            Request::Put { .. } => Reply::Unknown,
            _ => reply,
        },
    );
    expect_that!(first.fencing(at(0)), none());
    plain(&mut first, &mut store, at(2));
    expect_that!(first.fencing(at(2)), some(eq(FencingNumber(1))));
    expect_that!(first.fencing(at(30)), none());
}

#[gtest]
fn a_leaving_holder_gives_the_lease_up() {
    let mut store = MemoryStore::new();
    let (mut first, mut second) = (core(FIRST), core(SECOND));
    plain(&mut first, &mut store, at(0));
    let mut out = Vec::new();
    first.handle(at(1), Input::Leave, &mut out);
    settle(&mut first, &mut store, at(1), out, &mut |_, reply| reply);
    for seconds in 2..=20 {
        plain(&mut first, &mut store, at(seconds));
        plain(&mut second, &mut store, at(seconds));
    }
    expect_that!(first.fencing(at(20)), none());
    expect_that!(second.fencing(at(20)), some(anything()));
}
