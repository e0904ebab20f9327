use crate::snapshot::{Snapshot, entries};
use core::cell::Cell;
use googletest::prelude::*;
use poplarswitch_entity::{DataCentre, EndpointName, ServiceName};
use poplarswitch_ingress::{EndpointEntry, EndpointState};

fn list(count: u64) -> Vec<EndpointEntry> {
    let entry = |n| EndpointEntry {
        name: EndpointName::new(format!("e{n}")),
        service: ServiceName::new("chat"),
        address: ([10, 0, 0, 1], 8000).into(),
        data_centre: DataCentre::new("bole"),
        slots: 16,
        state: EndpointState::Ready,
        start_ms: n,
        revision: n,
    };
    (0..count).map(entry).collect()
}

/// Pattern: all VMs of a data centre restart, and a hundred ask one of them for the whole list.
#[gtest]
fn a_list_is_encoded_once_for_all_who_ask() {
    let snapshot = Snapshot::default();
    let encoded = Cell::new(0);
    let ask = |changes, count| {
        snapshot.at(changes, || {
            encoded.set(encoded.get() + 1);
            list(count)
        })
    };
    for _ in 0..100 {
        expect_that!(entries(&ask(7, 3_000)).unwrap(), eq(&list(3_000)));
    }
    expect_that!(encoded.get(), eq(1));
    expect_that!(entries(&ask(8, 2)).unwrap(), eq(&list(2)));
    expect_that!(encoded.get(), eq(2));
}

#[gtest]
fn a_list_that_is_cut_is_an_error() {
    let whole = Snapshot::default().at(1, || list(3));
    expect_that!(entries(&whole[..whole.len() - 1]).is_err(), eq(true));
}
