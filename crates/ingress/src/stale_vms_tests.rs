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
        held: Vec::new(),
        versions: Vec::new(),
    };
    (1..=count).map(vm).collect()
}

/// Scans with all VMs alive but the last `dead_count`.
fn scan(detector: &mut StaleVmDetector, listed: &[VmEntry], dead_count: u8) -> Vec<VmEntry> {
    let alive_count = listed.len() as u8 - dead_count;
    detector.scan(listed, |ip| ip.octets()[3] <= alive_count)
}

#[gtest]
fn entry_is_removed_after_two_silent_scans() {
    let mut detector = StaleVmDetector::default();
    let all = listed(9);
    expect_that!(scan(&mut detector, &all, 1), is_empty());
    expect_that!(scan(&mut detector, &all, 1), eq(&all[8..]));
}

#[gtest]
fn entry_is_kept_if_its_vm_was_alive_in_between() {
    let mut detector = StaleVmDetector::default();
    let all = listed(9);
    for dead_count in [1, 0, 1] {
        expect_that!(scan(&mut detector, &all, dead_count), is_empty());
    }
}

#[gtest]
fn entry_that_was_rewritten_is_kept() {
    let mut detector = StaleVmDetector::default();
    let mut all = listed(9);
    scan(&mut detector, &all, 1);
    all[8].revision += 50;
    expect_that!(scan(&mut detector, &all, 1), is_empty());
}

/// A VM that is cut off from the others receives no heartbeats, but may still reach the platform.
#[gtest]
fn nothing_is_removed_while_most_vms_are_silent() {
    let mut detector = StaleVmDetector::default();
    let all = listed(10);
    for dead_count in [9, 9, 5, 5, 4] {
        expect_that!(scan(&mut detector, &all, dead_count), is_empty());
    }
}

#[gtest]
fn scan_removes_at_most_eight_entries() {
    let mut detector = StaleVmDetector::default();
    let all = listed(100);
    scan(&mut detector, &all, 40);
    expect_that!(scan(&mut detector, &all, 40).len(), eq(8));
}
