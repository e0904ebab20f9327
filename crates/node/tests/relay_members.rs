//! VMs that find each other through the platform alone, whatever happens to it while they start.

mod relay;

use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_deployment::StoreFault;
use relay::Fleet;
use std::thread;

/// Number of VMs of most fleets.
const VM_COUNT: u8 = 5;
/// Number of VMs whose list has more than one page.
const LARGE_VM_COUNT: u8 = 60;

/// Starts all VMs while the platform has a fault, which ends after `length`, and waits until all of
/// them list each other.
fn start_during(net: u8, fault: StoreFault, length: Duration) {
    let mut fleet = Fleet::new(net, VM_COUNT);
    fleet.store.set_fault(fault);
    fleet.start_all();
    thread::sleep(length);
    fleet.store.set_fault(StoreFault::None);
    fleet.await_ready();
}

/// VMs that started together never heard of each other, because each read the list before any entry
/// was in it.
#[gtest]
fn vms_that_start_together_list_each_other() {
    let mut fleet = Fleet::new(41, VM_COUNT);
    // Long enough that all VMs read the list before any of them has written its entry.
    let answer_time = Duration::from_millis(100);
    fleet.store.set_fault(StoreFault::Slow(answer_time));
    fleet.start_all();
    fleet.await_ready();
    for index in 0..fleet.processes.len() {
        expect_that!(fleet.addresses(index).len(), eq(usize::from(VM_COUNT)));
    }
}

/// The same, with entries of the previous processes in the list.
#[gtest]
fn vms_that_are_killed_together_list_each_other_again() {
    let mut fleet = Fleet::start(42, VM_COUNT);
    for index in 0..fleet.processes.len() {
        fleet.kill(index);
    }
    fleet.start_all();
    fleet.await_ready();
}

/// The same, with entries that are written without an answer.
#[gtest]
fn vms_that_start_while_answers_are_lost_list_each_other() {
    start_during(43, StoreFault::LosesAnswers, Duration::from_secs(2));
}

/// The same, with entries that are written late and in any order.
#[gtest]
fn vms_that_start_while_the_platform_is_slow_list_each_other() {
    let slow = StoreFault::Slow(Duration::from_millis(700));
    start_during(44, slow, Duration::from_secs(3));
}

/// The same, with a platform that returns after the start.
#[gtest]
fn vms_that_start_while_the_platform_is_down_list_each_other() {
    start_during(45, StoreFault::Silent, Duration::from_secs(3));
    start_during(45, StoreFault::Refuses(503), Duration::from_secs(3));
}

/// The same, with a list of more than one page.
#[gtest]
fn vms_of_a_list_of_several_pages_list_each_other() {
    Fleet::start(46, LARGE_VM_COUNT);
}

/// A VM that shut down wrote its entry again, because it missed it in the list.
#[gtest]
fn vm_that_shuts_down_leaves_no_entry() {
    let mut fleet = Fleet::start(63, 1);
    fleet.terminate_if_up(0);
    expect_that!(fleet.await_exit(0), eq(true));
    expect_that!(fleet.store.vm_names(), is_empty());
}
