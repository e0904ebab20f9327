use crate::{CheckState, EndpointKey, Incarnation, ReportChecks};
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;
use slotmap::SlotMap;

const fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn key() -> EndpointKey {
    SlotMap::<EndpointKey, ()>::with_key().insert(())
}

/// A report that came after its time limit was dropped, and the next call asked for another one.
#[gtest]
fn late_report_serves_calls_that_had_connected_before_it_was_asked_for() {
    let (mut checks, key) = (ReportChecks::default(), key());
    expect_that!(
        checks.state(at(10), key, at(9)),
        eq(CheckState::Due(at(10)))
    );
    checks.begin(at(10), key);
    expect_that!(checks.state(at(200), key, at(9)), eq(CheckState::Running));
    checks.end(at(1_210), key, at(10), Incarnation::Known);
    for (open, state) in [
        (at(9), CheckState::Found(Incarnation::Known)),
        (at(10), CheckState::Found(Incarnation::Known)),
        (at(11), CheckState::Due(at(1_300))),
    ] {
        expect_that!(checks.state(at(1_300), key, open), eq(state));
    }
    // It no longer shows that the endpoint isn't silent, but still which one it was.
    expect_that!(
        checks.state(at(2_300), key, at(9)),
        eq(CheckState::Due(at(2_300)))
    );
    expect_that!(checks.found_since(key, at(9)), eq(Incarnation::Known));
    expect_that!(checks.found_since(key, at(11)), eq(Incarnation::Undecided));
}

/// Guards an endpoint that is slow against a report for each call.
#[gtest]
fn calls_that_connect_during_a_check_share_the_next_one() {
    let (mut checks, key) = (ReportChecks::default(), key());
    checks.begin(at(0), key);
    expect_that!(checks.state(at(1), key, at(1)), eq(CheckState::Due(at(50))));
    checks.begin(at(50), key);
    expect_that!(checks.state(at(51), key, at(49)), eq(CheckState::Running));
    // Nobody waits for the interval once nothing is under way.
    checks.end(at(52), key, at(0), Incarnation::Undecided);
    checks.end(at(53), key, at(50), Incarnation::Undecided);
    expect_that!(
        checks.state(at(54), key, at(49)),
        eq(CheckState::Due(at(54)))
    );
}

/// An earlier report that is overtaken says nothing of connections that were opened after it.
#[gtest]
fn overtaken_report_changes_nothing() {
    let (mut checks, key) = (ReportChecks::default(), key());
    checks.begin(at(0), key);
    checks.begin(at(60), key);
    checks.end(at(70), key, at(60), Incarnation::Other);
    checks.end(at(80), key, at(0), Incarnation::Known);
    expect_that!(
        checks.state(at(81), key, at(5)),
        eq(CheckState::Found(Incarnation::Other))
    );
}

/// An endpoint that took 250 ms for its reports got no streams that were taken up, whatever time was left.
#[gtest]
fn patience_follows_from_the_time_left_and_from_earlier_reports() {
    let (mut checks, key) = (ReportChecks::default(), key());
    let (long, short) = (Duration::from_secs(15), Duration::from_millis(240));
    let millis = Duration::from_millis;
    expect_that!(checks.patience(key, long, 0), eq(millis(150)));
    expect_that!(checks.patience(key, short, 0), eq(millis(80)));
    for asked in [0, 10_000, 20_000] {
        checks.begin(at(asked), key);
        checks.end(at(asked + 1_200), key, at(asked), Incarnation::Known);
    }
    let usual = checks.patience(key, long, 0);
    expect_that!(usual, ge(millis(3_590)));
    expect_that!(usual, le(millis(3_610)));
    expect_that!(checks.patience(key, millis(3_000), 0), eq(millis(1_000)));
    expect_that!(checks.patience(key, millis(3_000), 2), eq(millis(3_000)));
    expect_that!(ReportChecks::may_ask_another(2), eq(true));
    expect_that!(ReportChecks::may_ask_another(3), eq(false));
}
