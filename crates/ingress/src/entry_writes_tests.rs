use crate::EntrySchedule;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

const START: Time = Time::from_millis(1_000_000);

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Streams that began after a failed write were lost with all VMs: the next write came 2 s later.
#[gtest]
fn failed_write_is_repeated_soon_then_less_often() {
    let mut schedule = EntrySchedule::default();
    let mut now = START;
    let mut delays = Vec::new();
    for _ in 0..7 {
        schedule.begin(now);
        schedule.end(now, false);
        let due = schedule.due(Some(START)).unwrap_or(Time::MAX);
        delays.push(due.since(now).as_millis());
        now = due;
        expect_that!(schedule.begin(now), eq(true));
    }
    expect_that!(delays, eq(&[100, 200, 400, 800, 1_600, 2_000, 2_000]));
    schedule.end(now, true);
    expect_that!(schedule.due(None), none());
    expect_that!(schedule.begin(now), eq(false));
}

/// Streams waited for changes of holds and versions.
#[gtest]
fn streams_are_written_before_changes_that_gather() {
    let mut schedule = EntrySchedule::default();
    schedule.note_change(START);
    schedule.note_change(after(100));
    expect_that!(schedule.due(None), some(eq(after(350))));
    expect_that!(schedule.due(Some(after(20))), some(eq(after(20))));
    expect_that!(schedule.begin(after(20)), eq(false));
    schedule.end(after(20), true);
    expect_that!(schedule.due(None), some(eq(after(350))));
    schedule.begin(after(350));
    schedule.end(after(350), true);
    expect_that!(schedule.due(None), none());
}

#[gtest]
fn entry_that_may_be_missing_is_written_in_any_case() {
    let mut schedule = EntrySchedule::default();
    schedule.plan_rewrite(START, Duration::from_secs(1));
    schedule.plan_rewrite(START, Duration::from_millis(200));
    expect_that!(schedule.begin(after(199)), eq(false));
    expect_that!(schedule.due(None), some(eq(after(200))));
    expect_that!(schedule.begin(after(200)), eq(true));
    schedule.end(after(200), true);
    expect_that!(schedule.due(None), none());
}
