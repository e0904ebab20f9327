use crate::{
    brittle::{RejectionBound, open_share},
    endpoints::{EndpointKey, EndpointTable},
    endpoints_tests::entry,
};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const START: Time = Time(1_000_000_000);

/// The rejections of all VMs together crashed an endpoint.
#[gtest]
fn rejections_of_all_vms_stay_under_the_bound() {
    for (rate, vms) in [(8.0, 6), (30.0, 9), (200.0, 87), (5.0, 4)] {
        let bound = RejectionBound { rate, named: START };
        let all = vms as f64 / bound.backoff(vms).as_secs_f64();
        expect_that!(all, lt(rate), "{rate} {vms}");
    }
}

/// VMs that each saw a part of the load filled an endpoint beyond its slots.
#[gtest]
fn shares_of_all_vms_fit_into_the_slots() {
    for (slots, vms) in [(32, 6), (64, 9), (6, 3), (6, 6)] {
        expect_that!(open_share(slots, vms) as usize * vms, le(slots as usize));
    }
    expect_that!(open_share(6, 9), eq(1));
}

fn table_of(names: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::default();
    for (name, revision) in names.iter().zip(1..) {
        table.upsert(entry(name, revision));
    }
    table
}

fn first(table: &EndpointTable) -> EndpointKey {
    table.iter().next().unwrap().0
}

/// A VM went on sending to an endpoint that had said that it bears few rejections.
#[gtest]
fn brittle_endpoint_gets_no_more_calls_than_its_share() {
    let mut table = table_of(&["a"]);
    let key = first(&table);
    table.set_vm_count(4);
    let slots = table.get(key).unwrap().entry.slots;
    table.get_mut(key).unwrap().open_calls = slots;
    expect_that!(table.has_room(START, key), eq(true));
    table.record_bound(START, key, Some(10.0));
    expect_that!(table.has_room(START, key), eq(false));
    table.get_mut(key).unwrap().open_calls = open_share(slots, 4) - 1;
    expect_that!(table.has_room(START, key), eq(true));
    table.record_rejection(START, key);
    expect_that!(table.has_room(START, key), eq(false));
    expect_that!(
        table.has_room(START + Duration::from_secs(2), key),
        eq(true)
    );
    table.record_bound(START, key, None);
    table.get_mut(key).unwrap().open_calls = slots;
    expect_that!(
        table.has_room(START + Duration::from_secs(2), key),
        eq(true)
    );
}

/// An endpoint that had just come back after a crash was filled at once.
#[gtest]
fn new_endpoint_of_a_brittle_service_is_treated_as_the_others() {
    let mut table = table_of(&["a", "b"]);
    let keys: Vec<EndpointKey> = table.iter().map(|(key, _)| key).collect();
    table.set_vm_count(4);
    table.record_bound(START, keys[0], Some(10.0));
    let slots = table.get(keys[1]).unwrap().entry.slots;
    table.get_mut(keys[1]).unwrap().open_calls = slots;
    expect_that!(table.has_room(START, keys[1]), eq(false));
    let later = START + Duration::from_secs(11);
    expect_that!(table.has_room(later, keys[1]), eq(true));
}
