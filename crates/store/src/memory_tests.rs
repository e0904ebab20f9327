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
fn second_create_conflicts_and_returns_the_first_value() {
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
fn conditional_update_of_an_outdated_version_conflicts() {
    let mut store = MemoryStore::new();
    store.apply(&put(b"a", Precondition::Always));
    store.apply(&put(b"b", Precondition::Matches(Version(1))));
    let reply = store.apply(&put(b"c", Precondition::Matches(Version(1))));
    expect_that!(matches!(reply, Reply::Conflict { .. }), eq(true));
}

#[gtest]
fn watch_returns_only_newer_versions() {
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
fn listing_has_only_objects_with_its_prefix() {
    let mut store = MemoryStore::new();
    store.apply(&put(b"a", Precondition::Always));
    let list = |prefix: &str| Request::List {
        prefix: Key::from(prefix),
    };
    expect_that!(
        matches!(store.apply(&list("sets/")), Reply::Listing(objects) if objects.len() == 1),
        eq(true)
    );
    expect_that!(
        store.apply(&list("leases/")),
        eq(&Reply::Listing(Vec::new()))
    );
}
