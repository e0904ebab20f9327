use crate::{StaleVmDetector, VmEntry};
use core::net::Ipv4Addr;
use googletest::prelude::*;
use poplarswitch_entity::VmName;

fn listed(count: u8) -> Vec<VmEntry> {
    let vm = |n| VmEntry {
        name: VmName::new(format!("front-{n}")),
        ip: Ipv4Addr::new(10, 0, 0, n),
        data_centre: "bole".to_owned(),
        start_ms: 1,
        revision: 100 + u64::from(n),
    };
    (1..=count).map(vm).collect()
}

/// All VMs but the last `dead` live.
fn look(leftovers: &mut StaleVmDetector, listed: &[VmEntry], dead: u8) -> Vec<VmEntry> {
    let living = listed.len() as u8 - dead;
    leftovers.scan(listed, |ip| ip.octets()[3] <= living)
}

#[gtest]
fn an_entry_whose_vm_is_silent_twice_is_removed() {
    let mut leftovers = StaleVmDetector::default();
    let all = listed(9);
    expect_that!(look(&mut leftovers, &all, 1), is_empty());
    expect_that!(look(&mut leftovers, &all, 1), eq(&all[8..]));
}

#[gtest]
fn a_vm_that_was_heard_between_two_looks_keeps_its_entry() {
    let mut leftovers = StaleVmDetector::default();
    let all = listed(9);
    for dead in [1, 0, 1] {
        expect_that!(look(&mut leftovers, &all, dead), is_empty());
    }
}

#[gtest]
fn an_entry_that_was_written_anew_is_kept() {
    let mut leftovers = StaleVmDetector::default();
    let mut all = listed(9);
    look(&mut leftovers, &all, 1);
    all[8].revision += 50;
    expect_that!(look(&mut leftovers, &all, 1), is_empty());
}

/// A VM behind a partition hears nobody, but may reach the platform.
#[gtest]
fn a_vm_that_hears_few_removes_nothing() {
    let mut leftovers = StaleVmDetector::default();
    let all = listed(10);
    for dead in [9, 9, 5, 5, 4] {
        expect_that!(look(&mut leftovers, &all, dead), is_empty());
    }
}

#[gtest]
fn one_look_removes_few() {
    let mut leftovers = StaleVmDetector::default();
    let all = listed(100);
    look(&mut leftovers, &all, 40);
    expect_that!(look(&mut leftovers, &all, 40).len(), eq(8));
}
