use crate::{
    ChangeKind, Draft, HISTORY_LEN, Head, Outcome, Publisher, PublisherInput, PublisherOutput,
    head_key,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{Generation, Time};
use poplarswitch_objects::{ObjectSet, Tier};
use poplarswitch_store::{MemoryStore, Reply, Request, RequestId};

fn set(tiers: &[&str]) -> ObjectSet {
    let tiers = tiers
        .iter()
        .map(|name| Tier::builder().name(*name).rank(0).build());
    ObjectSet {
        tiers: tiers.collect(),
        ..ObjectSet::default()
    }
}

fn publisher(nonce: u64, tiers: &[&str]) -> Publisher {
    let draft = Draft::builder()
        .set(set(tiers))
        .author(format!("author {nonce}"))
        .nonce(nonce)
        .build();
    Publisher::new(draft, Box::new(|_, _| Vec::new()))
}

/// Applies requests to the store until the publication ends or `answer` withholds a reply.
fn drive(
    publisher: &mut Publisher,
    store: &mut MemoryStore,
    mut out: Vec<PublisherOutput>,
    mut answer: impl FnMut(&Request, Reply) -> Option<Reply>,
) -> Option<Outcome> {
    let mut now = Time::ZERO;
    for _ in 0..200 {
        // Deletions of unused blobs are output before `Finished`.
        for output in core::mem::take(&mut out) {
            match output {
                PublisherOutput::Finished(outcome) => return Some(outcome),
                PublisherOutput::Request { id, request } => {
                    let done = store.apply(&request);
                    let reply = answer(&request, done)?;
                    publisher.handle(now, PublisherInput::Reply { id, reply }, &mut out);
                }
            }
        }
        now = now + Duration::from_millis(500);
        publisher.tick(now, &mut out);
    }
    None
}

fn start(publisher: &mut Publisher) -> Vec<PublisherOutput> {
    let mut out = Vec::new();
    publisher.handle(Time::ZERO, PublisherInput::Start, &mut out);
    out
}

fn publish(store: &mut MemoryStore, nonce: u64, tiers: &[&str]) -> Option<Outcome> {
    let mut publisher = publisher(nonce, tiers);
    let out = start(&mut publisher);
    drive(&mut publisher, store, out, |_, reply| Some(reply))
}

fn is_head_write(request: &Request) -> bool {
    matches!(request, Request::Put { key, .. } if *key == head_key())
}

#[gtest]
fn each_accepted_set_has_the_next_generation() {
    let mut store = MemoryStore::new();
    publish(&mut store, 1, &["a"]);
    let outcome = publish(&mut store, 2, &["a", "b"]);
    let Some(Outcome::Accepted(release)) = outcome else {
        panic!("not accepted: {outcome:?}");
    };
    expect_that!(release.generation, eq(Generation(2)));
    let again = publish(&mut store, 3, &["a", "b"]);
    expect_that!(
        again,
        some(matches_pattern!(Outcome::Unchanged(some(anything()))))
    );
}

#[gtest]
fn conflicting_head_update_names_the_other_release() {
    let mut store = MemoryStore::new();
    publish(&mut store, 1, &["a"]);
    let mut late = publisher(2, &["a", "late"]);
    let out = start(&mut late);
    let mut conflict = Some(());
    let mut other_store = store.clone();
    publish(&mut other_store, 3, &["a", "first"]);
    let outcome = drive(&mut late, &mut store, out, |request, reply| {
        let conflicts = is_head_write(request) && conflict.take().is_some();
        let current = other_store.peek(&head_key()).cloned();
        Some(if conflicts {
            Reply::Conflict { current }
        } else {
            reply
        })
    });
    let Some(Outcome::Conflict { theirs, .. }) = outcome else {
        panic!("no conflict: {outcome:?}");
    };
    expect_that!(theirs.author, eq("author 3"));
    expect_that!(theirs.generation, eq(Generation(2)));
}

#[gtest]
fn conflict_lists_the_objects_that_the_other_release_changed() {
    let mut store = MemoryStore::new();
    publish(&mut store, 1, &["a"]);
    let mut late = publisher(2, &["a", "late"]);
    let mut out = start(&mut late);
    // The late publisher reads generation 1 before the other publication takes effect.
    for _ in 0..2 {
        for output in core::mem::take(&mut out) {
            if let PublisherOutput::Request { id, request } = output
                && matches!(request, Request::Get { .. })
            {
                let reply = store.apply(&request);
                late.handle(Time::ZERO, PublisherInput::Reply { id, reply }, &mut out);
            }
        }
    }
    publish(&mut store, 3, &["a", "first"]);
    for output in &out {
        if let PublisherOutput::Request { request, .. } = output {
            expect_that!(is_head_write(request), eq(false));
        }
    }
    let outcome = drive(&mut late, &mut store, out, |_, reply| Some(reply));
    if let Some(Outcome::Conflict { changed, .. }) = outcome {
        expect_that!(changed.len(), eq(1));
        expect_that!(changed[0].name, eq("first"));
        expect_that!(changed[0].change, eq(ChangeKind::Added));
    } else {
        panic!("no conflict: {outcome:?}");
    }
}

#[gtest]
fn head_update_without_an_answer_is_found_by_its_nonce() {
    let mut store = MemoryStore::new();
    let mut first = publisher(1, &["a"]);
    let out = start(&mut first);
    let outcome = drive(&mut first, &mut store, out, |request, reply| {
        Some(if is_head_write(request) {
            Reply::Unknown
        } else {
            reply
        })
    });
    expect_that!(
        outcome,
        some(matches_pattern!(Outcome::Accepted(anything())))
    );
    let head = store.peek(&head_key()).expect("head exists");
    let head = Head::parse(&head.value).expect("head parses");
    expect_that!(head.current.generation, eq(Generation(1)));
}

#[gtest]
fn outage_before_the_head_update_ends_as_unavailable() {
    let mut publisher = publisher(1, &["a"]);
    let mut out = start(&mut publisher);
    let reply = Reply::Unavailable {
        retry_after: Duration::from_secs(1),
    };
    let id = RequestId(1);
    publisher.handle(Time::ZERO, PublisherInput::Reply { id, reply }, &mut out);
    out.clear();
    publisher.tick(Time::ZERO + Duration::from_mins(2), &mut out);
    expect_that!(
        out,
        elements_are![matches_pattern!(PublisherOutput::Finished(pat!(
            Outcome::Unavailable
        )))]
    );
}

#[gtest]
fn outdated_base_is_a_conflict_with_all_changes_since() {
    let mut store = MemoryStore::new();
    publish(&mut store, 1, &["a"]);
    publish(&mut store, 2, &["a", "b"]);
    publish(&mut store, 3, &["a", "b", "c"]);
    let draft = Draft::builder()
        .set(set(&["a", "mine"]))
        .author("late")
        .nonce(4)
        .base(Generation(1))
        .build();
    let mut late = Publisher::new(draft, Box::new(|_, _| Vec::new()));
    let out = start(&mut late);
    let outcome = drive(&mut late, &mut store, out, |_, reply| Some(reply));
    let Some(Outcome::Conflict { theirs, changed }) = outcome else {
        panic!("no conflict: {outcome:?}");
    };
    expect_that!(theirs.generation, eq(Generation(2)));
    let names: Vec<&str> = changed.iter().map(|change| change.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"b"), eq(&"c")]);
}

#[gtest]
fn head_size_and_blob_count_stay_bounded() {
    const HEAD_BYTES: usize = 20_000;
    let mut store = MemoryStore::new();
    for nonce in 1..=60 {
        let name = format!("tier-{nonce}");
        publish(&mut store, nonce, &[&name]);
    }
    let head = store.peek(&head_key()).expect("head exists").value.len();
    expect_that!(head, lt(HEAD_BYTES));
    let prefix = "sets/".into();
    let Reply::Listing(listed) = store.apply(&Request::List { prefix }) else {
        panic!("a listing expected");
    };
    // The head, and one part and one manifest of each release that the head lists.
    expect_that!(listed.len(), eq(1 + 2 * (HISTORY_LEN + 1)));
}
