use crate::{Client, Platform, Rates};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;
use poplarswitch_store::{Key, MemoryStore, Precondition, Reply, Request};

const RATES: Rates = Rates {
    writes: 5,
    reads: 5,
};

/// Platform that returns the prepared replies, last first, and then executes requests in memory.
struct FakePlatform {
    store: MemoryStore,
    replies: Vec<Reply>,
}

impl Platform for FakePlatform {
    fn call(&mut self, request: &Request) -> Reply {
        self.replies
            .pop()
            .unwrap_or_else(|| self.store.apply(request))
    }
}

fn client(replies: Vec<Reply>) -> Client {
    let fake = FakePlatform {
        store: MemoryStore::new(),
        replies,
    };
    Client::new(Box::new(fake), RATES, 1)
}

fn put() -> Request {
    Request::Put {
        key: Key::from("a"),
        value: b"x".as_slice().into(),
        precondition: Precondition::Always,
    }
}

#[gtest]
fn client_backs_off_during_an_outage_and_recovers() {
    let mut client = client(vec![Reply::Unavailable {
        retry_after: Duration::ZERO,
    }]);
    client.call(Time::ZERO, &put());
    expect_that!(client.is_down(), eq(true));
    client.call(Time(1), &put());
    expect_that!(client.counters().throttled, eq(1));
    let reply = client.call(Time::from_millis(200), &put());
    expect_that!(matches!(reply, Reply::Done { .. }), eq(true));
    expect_that!(client.is_down(), eq(false));
}

#[gtest]
fn unknown_outcome_of_a_write_is_returned_and_counted() {
    let mut client = client(vec![Reply::Unknown]);
    expect_that!(client.call(Time::ZERO, &put()), eq(&Reply::Unknown));
    expect_that!(client.counters().unknown, eq(1));
}

#[gtest]
fn requests_beyond_the_rate_limit_are_refused() {
    let mut client = client(Vec::new());
    for _ in 0..8 {
        client.call(Time::ZERO, &put());
    }
    expect_that!(client.counters().sent, eq(5));
    expect_that!(client.counters().throttled, eq(3));
}
