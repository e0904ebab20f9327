use crate::{Key, MemoryStore, Precondition, Reply, Request, Version};
use core::time::Duration;
use googletest::prelude::*;

fn put(value: &[u8], precondition: Precondition) -> Request {
    Request::Put {
        key: Key::from("sets/head"),
        value: value.into(),
        precondition,
    }
}

#[gtest]
fn a_second_create_conflicts_and_shows_the_first() {
    let mut store = MemoryStore::new();
    expect_that!(
        store.apply(&put(b"a", Precondition::Absent)),
        eq(&Reply::Done {
            version: Version(1)
        })
    );
    let Reply::Conflict {
        current: Some(current),
    } = store.apply(&put(b"b", Precondition::Absent))
    else {
        panic!("the create must conflict");
    };
    expect_that!(&*current.value, eq(b"a".as_slice()));
}

#[gtest]
fn a_conditional_update_needs_the_version_it_read() {
    let mut store = MemoryStore::new();
    store.apply(&put(b"a", Precondition::Always));
    store.apply(&put(b"b", Precondition::Matches(Version(1))));
    let reply = store.apply(&put(b"c", Precondition::Matches(Version(1))));
    expect_that!(matches!(reply, Reply::Conflict { .. }), eq(true));
}

#[gtest]
fn a_watch_shows_only_newer_versions() {
    let mut store = MemoryStore::new();
    store.apply(&put(b"a", Precondition::Always));
    let watch = |after| Request::Watch {
        key: Key::from("sets/head"),
        after: Version(after),
        wait: Duration::ZERO,
    };
    expect_that!(store.apply(&watch(1)), eq(&Reply::Unchanged));
    expect_that!(
        matches!(store.apply(&watch(0)), Reply::Object(Some(_))),
        eq(true)
    );
}

#[gtest]
fn a_listing_stays_below_its_prefix() {
    let mut store = MemoryStore::new();
    store.apply(&put(b"a", Precondition::Always));
    let list = |prefix: &str| Request::List {
        prefix: Key::from(prefix),
    };
    expect_that!(
        matches!(store.apply(&list("sets/")), Reply::Listing(found) if found.len() == 1),
        eq(true)
    );
    expect_that!(
        store.apply(&list("leases/")),
        eq(&Reply::Listing(Vec::new()))
    );
}
