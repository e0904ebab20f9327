use crate::{
    EndpointChange, EndpointEntry, EndpointState, EndpointTable, EntryChanges, Transition,
};
use googletest::prelude::*;
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName, Time};

pub(crate) fn entry(name: &str, revision: u64) -> EndpointEntry {
    EndpointEntry {
        name: EndpointName::new(name),
        service: ServiceName::new("chat"),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: DataCentre::new("bole"),
        slots: 4,
        state: EndpointState::Ready,
        start_ms: 1,
        software: None,
        revision,
    }
}

fn draining(name: &str, revision: u64) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Draining,
        ..entry(name, revision)
    }
}

fn available_count(endpoints: &EndpointTable) -> usize {
    endpoints.available(&ServiceName::new("chat")).len()
}

#[gtest]
fn draining_is_final_for_an_incarnation() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(entry("a", 1));
    endpoints.upsert(draining("a", 2));
    expect_that!(available_count(&endpoints), eq(0));
    // An entry that was read before the drain, and a later one that declares the endpoint ready
    // again.
    endpoints.upsert(entry("a", 1));
    endpoints.upsert(entry("a", 3));
    expect_that!(available_count(&endpoints), eq(0));
    endpoints.upsert(EndpointEntry {
        start_ms: 2,
        software: None,
        ..entry("a", 4)
    });
    expect_that!(available_count(&endpoints), eq(1));
}

/// A VM may request changes from another VM, then read the platform, and receive the platform's
/// reply first.
#[gtest]
fn delayed_reply_does_not_restore_a_removed_endpoint() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(entry("a", 90));
    endpoints.remove(&EndpointName::new("a"), 100, None);
    endpoints.advance_to(100);
    endpoints.apply(EntryChanges {
        entries: vec![entry("a", 96)],
        removed: Vec::new(),
        revision: 97,
    });
    expect_that!(available_count(&endpoints), eq(0));
    expect_that!(endpoints.revision(), eq(100));
    endpoints.apply_listing(vec![entry("a", 96)], 98, None);
    expect_that!(available_count(&endpoints), eq(0));
    endpoints.apply_listing(vec![entry("a", 101)], 102, None);
    expect_that!(available_count(&endpoints), eq(1));
}

#[gtest]
fn new_incarnation_gets_a_new_key() {
    let mut endpoints = EndpointTable::default();
    let first = endpoints.upsert(entry("a", 1));
    let second = endpoints.upsert(EndpointEntry {
        start_ms: 9,
        software: None,
        ..entry("a", 2)
    });
    expect_that!(second.len(), eq(2));
    expect_that!(first[0].transition, eq(Transition::Joined));
    let old = first[0].key;
    let name = EndpointName::new("a");
    let transition = Transition::Left;
    expect_that!(
        second[0],
        eq(&EndpointChange {
            key: old,
            name,
            transition
        })
    );
    expect_that!(endpoints.get(old).is_none(), eq(true));
}

#[gtest]
fn removal_without_grace_takes_effect_at_once() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(entry("a", 1));
    endpoints.remove(&EndpointName::new("a"), 2, None);
    expect_that!(available_count(&endpoints), eq(0));
}

/// Entries lapse while the platform is unavailable; endpoints that are still running renew theirs
/// within 2 s of its return.
#[gtest]
fn lapsed_entry_is_kept_for_the_grace_period() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(entry("a", 1));
    endpoints.upsert(entry("b", 2));
    let until = Time::from_millis(2_100);
    endpoints.apply_listing(Vec::new(), 9, Some(until));
    expect_that!(available_count(&endpoints), eq(2));
    endpoints.upsert(entry("a", 10));
    endpoints.expire_grace(Time::from_millis(2_000));
    expect_that!(available_count(&endpoints), eq(2));
    endpoints.expire_grace(until);
    expect_that!(available_count(&endpoints), eq(1));
}

#[gtest]
fn draining_endpoint_is_removed_without_grace() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(draining("a", 1));
    endpoints.remove(&EndpointName::new("a"), 2, Some(Time::MAX));
    expect_that!(endpoints.iter().count(), eq(0));
}

/// A VM that receives changes from another VM gets the same endpoints, whatever its last revision.
#[gtest]
fn changes_since_a_revision_bring_a_follower_up_to_date() {
    let mut leader = EndpointTable::default();
    for (revision, name) in ["a", "b", "c", "d"].iter().enumerate() {
        leader.upsert(entry(name, revision as u64 + 1));
    }
    leader.advance_to(4);
    let mut follower = EndpointTable::default();
    follower.apply_listing(leader.entries(), leader.revision(), None);
    leader.upsert(draining("b", 5));
    leader.remove(&EndpointName::new("c"), 6, None);
    leader.remove(&EndpointName::new("d"), 7, Some(Time::from_millis(500)));
    leader.advance_to(7);
    let (entries, removed) = leader
        .changes_since(Time::ZERO, follower.revision())
        .unwrap();
    for entry in entries {
        follower.upsert(entry);
    }
    for removal in removed {
        let grace = removal
            .grace_ms
            .map(|left| Time::from_millis(u64::from(left)));
        follower.remove(&removal.name, removal.revision, grace);
    }
    follower.advance_to(7);
    expect_that!(available_count(&follower), eq(2));
    follower.expire_grace(Time::from_millis(500));
    expect_that!(available_count(&follower), eq(1));
}

/// Guards against idle connections that block new ones: after a burst, every VM of a large cluster
/// kept its connections to an endpoint, and the endpoint had none left for calls that always use
/// new connections.
#[gtest]
fn idle_connections_of_all_vms_are_limited_per_endpoint() {
    let mut endpoints = EndpointTable::default();
    endpoints.upsert(entry("a", 1));
    let (_, endpoint) = endpoints.iter().next().unwrap();
    for vms in [1, 4, 16, 87, 300] {
        let max_idle = endpoint.max_idle(vms);
        expect_that!(max_idle, ge(1));
        // The entry has four slots; a VM that uses the endpoint at all keeps one connection.
        expect_that!(max_idle * vms, le((4 * 4).max(vms)), "{vms} VMs");
    }
    expect_that!(endpoint.max_idle(2), eq(6));
    expect_that!(endpoint.max_idle(0), eq(6));
}

/// A list that was encoded at some change count must not be sent again after a grace period has
/// ended; the VMs that receive it would send calls to an endpoint that has been removed.
#[gtest]
fn end_of_grace_period_changes_the_count_but_not_the_revision() {
    let mut endpoints = EndpointTable::default();
    endpoints.apply_listing(vec![entry("a", 1), entry("b", 2)], 5, None);
    endpoints.remove(&EndpointName::new("a"), 6, Some(Time::from_millis(2_000)));
    endpoints.advance_to(6);
    let (revision, changes) = (endpoints.revision(), endpoints.change_count());
    expect_that!(endpoints.entries().len(), eq(2));
    endpoints.expire_grace(Time::from_millis(3_000));
    expect_that!(endpoints.entries().len(), eq(1));
    expect_that!(endpoints.revision(), eq(revision));
    expect_that!(endpoints.change_count(), not(eq(changes)));
}

#[gtest]
fn every_change_of_an_entry_changes_the_count() {
    let mut endpoints = EndpointTable::default();
    let mut seen = vec![endpoints.change_count()];
    for (state, revision) in [(EndpointState::Ready, 1), (EndpointState::Draining, 2)] {
        endpoints.upsert(EndpointEntry {
            state,
            ..entry("a", revision)
        });
        seen.push(endpoints.change_count());
    }
    endpoints.remove(&EndpointName::new("a"), 3, None);
    seen.push(endpoints.change_count());
    seen.dedup();
    expect_that!(seen.len(), eq(4));
}
