use crate::{
    BlobRef, Content, Follower, Input, Output, PublishMessage, RefuseReason, Release, Settings,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::{Generation, Incarnation, Time};
use poplarswitch_objects::{ObjectSet, Tier};

const PEER: Incarnation = Incarnation(7);
const LATER: Time = Time::from_millis(10_000);

fn content(rank: u8) -> Content {
    let set = ObjectSet {
        tiers: vec![Tier::builder().name("t").rank(rank).build()],
        ..ObjectSet::default()
    };
    Content::split(&set, u64::from(rank), None)
}

fn release(generation: u64, manifest: BlobRef, min_program: u32) -> Release {
    Release {
        generation: Generation(generation),
        manifest,
        parent: None,
        author: "a".to_owned(),
        note: String::new(),
        min_program,
        nonce: generation,
    }
}

fn message(message: PublishMessage) -> Input {
    Input::Message {
        from: PEER,
        message,
    }
}

fn linked_follower() -> Follower {
    let mut follower = Follower::new(Settings::builder().build(), |_| Ok(()), 1);
    let mut out = Vec::new();
    follower.tick(Time::ZERO, &mut out);
    follower.handle(LATER, Input::Linked(PEER), &mut out);
    follower
}

/// Lets the peer announce a release and answer every request for its blobs; returns all outputs.
fn offer(follower: &mut Follower, release: Release, content: &Content) -> Vec<Output> {
    let mut out = Vec::new();
    follower.handle(LATER, message(PublishMessage::Holds(release)), &mut out);
    let mut all = Vec::new();
    while !out.is_empty() {
        for output in core::mem::take(&mut out) {
            if let Output::Send {
                message: PublishMessage::Fetch(hashes),
                ..
            } = &output
            {
                let blobs = hashes.iter().map(|hash| content.blobs[hash].clone());
                let blobs = PublishMessage::Blobs(blobs.collect());
                follower.handle(LATER, message(blobs), &mut out);
            }
            all.push(output);
        }
    }
    all
}

fn active(follower: &Follower) -> Option<Generation> {
    let active = follower.active()?;
    Some(active.release.generation)
}

#[gtest]
fn set_from_a_peer_is_activated_without_the_platform() {
    let mut follower = linked_follower();
    let content = content(1);
    offer(&mut follower, release(3, content.root, 1), &content);
    expect_that!(active(&follower), some(eq(Generation(3))));
}

#[gtest]
fn older_release_from_a_peer_is_ignored() {
    let mut follower = linked_follower();
    let (new, old) = (content(2), content(1));
    offer(&mut follower, release(3, new.root, 1), &new);
    let out = offer(&mut follower, release(2, old.root, 1), &old);
    expect_that!(out, is_empty());
    expect_that!(active(&follower), some(eq(Generation(3))));
}

#[gtest]
fn active_set_is_kept_when_the_next_needs_a_newer_program() {
    let mut follower = linked_follower();
    let (old, new) = (content(1), content(2));
    offer(&mut follower, release(1, old.root, 1), &old);
    offer(&mut follower, release(2, new.root, 99), &new);
    expect_that!(active(&follower), some(eq(Generation(1))));
    let refused = follower.status().refused.clone().expect("reported");
    expect_that!(
        refused.reason,
        eq(&RefuseReason::TooNew { needs: 99, has: 1 })
    );
}

#[gtest]
fn refused_release_is_served_to_peers() {
    let mut follower = linked_follower();
    let new = content(2);
    offer(&mut follower, release(2, new.root, 99), &new);
    let mut out = Vec::new();
    let fetch = PublishMessage::Fetch(vec![new.root.hash]);
    follower.handle(LATER + Duration::from_secs(1), message(fetch), &mut out);
    let sent = out.iter().any(|output| {
        matches!(output, Output::Send { message: PublishMessage::Blobs(blobs), .. }
            if blobs.len() == 1)
    });
    expect_that!(sent, eq(true));
}

#[gtest]
fn blobs_with_other_hashes_are_not_accepted() {
    let mut follower = linked_follower();
    let (good, forged) = (content(1), content(2));
    let mut out = Vec::new();
    let holds = PublishMessage::Holds(release(1, good.root, 1));
    follower.handle(LATER, message(holds), &mut out);
    let blobs = forged.blobs.values().cloned().collect();
    follower.handle(LATER, message(PublishMessage::Blobs(blobs)), &mut out);
    expect_that!(active(&follower), none());
}
