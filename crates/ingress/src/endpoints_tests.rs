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
        revision,
    }
}

fn draining(name: &str, revision: u64) -> EndpointEntry {
    EndpointEntry {
        state: EndpointState::Draining,
        ..entry(name, revision)
    }
}

fn takers(fleet: &EndpointTable) -> usize {
    fleet.available(&ServiceName::new("chat")).len()
}

#[gtest]
fn draining_is_final_for_one_life_of_an_endpoint() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(entry("a", 1));
    fleet.upsert(draining("a", 2));
    expect_that!(takers(&fleet), eq(0));
    // An entry that was read before the drain, and one that claims to be ready again.
    fleet.upsert(entry("a", 1));
    fleet.upsert(entry("a", 3));
    expect_that!(takers(&fleet), eq(0));
    fleet.upsert(EndpointEntry {
        start_ms: 2,
        ..entry("a", 4)
    });
    expect_that!(takers(&fleet), eq(1));
}

/// A VM that reads the platform and asks a neighbour at once may hear from the platform first.
#[gtest]
fn an_answer_that_was_overtaken_brings_no_endpoint_back() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(entry("a", 90));
    fleet.remove(&EndpointName::new("a"), 100, None);
    fleet.advance_to(100);
    fleet.apply(EntryChanges {
        entries: vec![entry("a", 96)],
        removed: Vec::new(),
        revision: 97,
    });
    expect_that!(takers(&fleet), eq(0));
    expect_that!(fleet.revision(), eq(100));
    fleet.apply_listing(vec![entry("a", 96)], 98, None);
    expect_that!(takers(&fleet), eq(0));
    fleet.apply_listing(vec![entry("a", 101)], 102, None);
    expect_that!(takers(&fleet), eq(1));
}

#[gtest]
fn a_new_life_under_an_old_name_gets_a_new_key() {
    let mut fleet = EndpointTable::default();
    let first = fleet.upsert(entry("a", 1));
    let second = fleet.upsert(EndpointEntry {
        start_ms: 9,
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
    expect_that!(fleet.get(old).is_none(), eq(true));
}

#[gtest]
fn an_entry_that_is_removed_in_calm_is_gone_at_once() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(entry("a", 1));
    fleet.remove(&EndpointName::new("a"), 2, None);
    expect_that!(takers(&fleet), eq(0));
}

/// Entries lapse while the platform is away; those of live endpoints are back within 2 s.
#[gtest]
fn an_entry_that_lapsed_in_an_outage_is_kept_for_the_grace() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(entry("a", 1));
    fleet.upsert(entry("b", 2));
    let until = Time::from_millis(2_100);
    fleet.apply_listing(Vec::new(), 9, Some(until));
    expect_that!(takers(&fleet), eq(2));
    fleet.upsert(entry("a", 10));
    fleet.expire_grace(Time::from_millis(2_000));
    expect_that!(takers(&fleet), eq(2));
    fleet.expire_grace(until);
    expect_that!(takers(&fleet), eq(1));
}

#[gtest]
fn a_draining_endpoint_gets_no_grace() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(draining("a", 1));
    fleet.remove(&EndpointName::new("a"), 2, Some(Time::MAX));
    expect_that!(fleet.iter().count(), eq(0));
}

/// A VM that follows another sees the same endpoints, from whichever revision it starts.
#[gtest]
fn what_changed_since_a_revision_brings_a_follower_up_to_date() {
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
    expect_that!(takers(&follower), eq(2));
    follower.expire_grace(Time::from_millis(500));
    expect_that!(takers(&follower), eq(1));
}

/// Pattern: a burst opens connections from every VM of a large fleet. Kept by all of them, they
/// crowded out those that bookings need, which are always new.
#[gtest]
fn idle_connections_of_all_vms_leave_room_at_an_endpoint() {
    let mut fleet = EndpointTable::default();
    fleet.upsert(entry("a", 1));
    let (_, endpoint) = fleet.iter().next().unwrap();
    for vms in [1, 4, 16, 87, 300] {
        let kept = endpoint.max_idle(vms);
        expect_that!(kept, ge(1));
        // The entry has four places; a VM that uses it at all keeps one.
        expect_that!(kept * vms, le((4 * 4).max(vms)), "{vms} VMs");
    }
    expect_that!(endpoint.max_idle(2), eq(6));
    expect_that!(endpoint.max_idle(0), eq(6));
}

/// A list that is kept for others as of a count must not be handed out once an entry's grace is
/// over: they would send work to an endpoint that is gone.
#[gtest]
fn the_end_of_a_grace_is_a_change_though_the_revision_stays() {
    let mut fleet = EndpointTable::default();
    fleet.apply_listing(vec![entry("a", 1), entry("b", 2)], 5, None);
    fleet.remove(&EndpointName::new("a"), 6, Some(Time::from_millis(2_000)));
    fleet.advance_to(6);
    let (revision, changes) = (fleet.revision(), fleet.change_count());
    expect_that!(fleet.entries().len(), eq(2));
    fleet.expire_grace(Time::from_millis(3_000));
    expect_that!(fleet.entries().len(), eq(1));
    expect_that!(fleet.revision(), eq(revision));
    expect_that!(fleet.change_count(), not(eq(changes)));
}

#[gtest]
fn every_entry_that_comes_or_changes_is_a_change() {
    let mut fleet = EndpointTable::default();
    let mut seen = vec![fleet.change_count()];
    for (state, revision) in [(EndpointState::Ready, 1), (EndpointState::Draining, 2)] {
        fleet.upsert(EndpointEntry {
            state,
            ..entry("a", revision)
        });
        seen.push(fleet.change_count());
    }
    fleet.remove(&EndpointName::new("a"), 3, None);
    seen.push(fleet.change_count());
    seen.dedup();
    expect_that!(seen.len(), eq(4));
}
