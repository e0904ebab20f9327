use crate::{LAPSE_GRACE, MIN_OUTAGE, OutageTracker, ServedAges};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

/// Start of each test; the platform has served the VMs for a while.
const START: Time = Time::from_millis(60_000);
/// Interval between replies in calm.
const REPLY_INTERVAL: Duration = Duration::from_millis(800);
/// Length of an outage in which entries lapse.
const OUTAGE: Duration = Duration::from_secs(4);
const ERA: u64 = 3;

/// A VM that was served until [`START`].
fn served_vm() -> OutageTracker {
    let mut vm = OutageTracker::default();
    serve(&mut vm, Time::from_millis(50_000), START);
    vm
}

fn serve(vm: &mut OutageTracker, from: Time, until: Time) {
    let mut now = from;
    while now <= until {
        vm.record_served(now, ERA);
        now = now + REPLY_INTERVAL;
    }
    vm.record_served(until, ERA);
}

fn fail(vm: &mut OutageTracker, from: Time, until: Time) {
    let mut now = from;
    while now < until {
        vm.record_failure(now);
        now = now + Duration::from_millis(700);
    }
}

fn tell(from: &OutageTracker, to: &mut OutageTracker, now: Time) {
    to.receive(now, from.ages(now).unwrap());
}

#[gtest]
fn outage_that_all_vms_see_is_followed_by_a_grace_period() {
    let end = START + OUTAGE;
    let (mut vm, mut other) = (served_vm(), served_vm());
    fail(&mut vm, START + REPLY_INTERVAL, end);
    vm.record_served(end, ERA);
    tell(&other, &mut vm, end);
    let grace_end = end + LAPSE_GRACE;
    expect_that!(vm.grace_end(end), some(eq(grace_end)));
    expect_that!(other.allows(grace_end), eq(true));
    // A VM that doesn't call the platform learns of its return from the other one.
    tell(&vm, &mut other, end + Duration::from_millis(300));
    expect_that!(other.allows(grace_end), eq(true));
    serve(&mut vm, end, grace_end);
    expect_that!(vm.allows(grace_end), eq(true));
    expect_that!(vm.grace_end(grace_end), none());
}

/// Guards against drains that were held up for 2.1 s because one VM had been cut off.
#[gtest]
fn vm_that_was_cut_off_alone_takes_no_removal_for_a_lapse() {
    let end = START + OUTAGE;
    let (mut vm, mut other) = (served_vm(), served_vm());
    fail(&mut vm, START + REPLY_INTERVAL, end);
    serve(&mut other, START, end);
    vm.record_served(end, ERA);
    let claimed = vm.grace_end(end).unwrap();
    expect_that!(other.allows(claimed), eq(false));
    tell(&other, &mut vm, end);
    expect_that!(vm.grace_end(end), none());
    expect_that!(vm.allows(claimed), eq(false));
}

/// Guards against drains that were held up because a VM that read the platform again after a long
/// time had failed at its last call.
#[gtest]
fn failure_before_other_vms_were_served_is_no_outage_later() {
    let (mut vm, mut other) = (served_vm(), served_vm());
    fail(&mut vm, START + REPLY_INTERVAL, START + OUTAGE);
    let later = START + Duration::from_secs(20);
    serve(&mut other, START + OUTAGE, later);
    tell(&other, &mut vm, later);
    expect_that!(vm.grace_end(later), none());
    vm.record_served(later + REPLY_INTERVAL, ERA);
    expect_that!(vm.grace_end(later + REPLY_INTERVAL), none());
}

#[gtest]
fn grace_period_begins_with_the_first_vm_that_is_served() {
    let returned = START + OUTAGE;
    let noticed = returned + Duration::from_millis(900);
    let (mut vm, mut other) = (served_vm(), served_vm());
    fail(&mut vm, START + REPLY_INTERVAL, noticed);
    fail(&mut other, START + REPLY_INTERVAL, returned);
    serve(&mut other, returned, noticed);
    vm.record_served(noticed, ERA);
    expect_that!(vm.grace_end(noticed), some(eq(noticed + LAPSE_GRACE)));
    tell(&other, &mut vm, noticed);
    expect_that!(vm.grace_end(noticed), some(eq(returned + LAPSE_GRACE)));
}

#[gtest]
fn failures_between_replies_are_no_outage() {
    let mut vm = served_vm();
    for step in 1..20 {
        let now = START + MIN_OUTAGE * step;
        vm.record_failure(now - MIN_OUTAGE / 2);
        vm.record_served(now, ERA);
        expect_that!(vm.grace_end(now), none(), "step {step}");
    }
}

/// The platform serves calls without a gap when it comes back from a copy that lacks entries.
#[gtest]
fn platform_that_comes_back_from_a_copy_may_lack_entries() {
    let (mut vm, mut other) = (served_vm(), served_vm());
    let restored = START + REPLY_INTERVAL;
    vm.record_served(restored, ERA + 1);
    serve(&mut other, START, restored);
    tell(&other, &mut vm, restored);
    let grace_end = restored + LAPSE_GRACE;
    expect_that!(vm.grace_end(restored), some(eq(grace_end)));
    tell(&vm, &mut other, restored);
    expect_that!(other.allows(grace_end), eq(true));
    expect_that!(other.grace_end(restored), some(eq(grace_end)));
}

#[gtest]
fn messages_of_the_time_before_an_outage_end_it_for_no_vm() {
    let end = START + OUTAGE;
    let mut vm = served_vm();
    let ages = vm.ages(START).unwrap();
    fail(&mut vm, START + REPLY_INTERVAL, end);
    vm.receive(START + REPLY_INTERVAL, ages);
    vm.record_served(end, ERA);
    vm.receive(
        end,
        ServedAges {
            era: ERA - 1,
            ..ages
        },
    );
    expect_that!(vm.grace_end(end), some(eq(end + LAPSE_GRACE)));
}
