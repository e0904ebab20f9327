use crate::{Gap, fixture, merge};
use googletest::prelude::*;
use poplarswitch_entity::Incarnation;

#[gtest]
fn line_has_time_vm_call_and_event() {
    let timeline = merge(fixture::forwarded_call());
    let text = timeline.to_string();
    expect_that!(text.lines().count(), eq(7));
    expect_that!(
        text.lines().nth(1),
        some(eq(
            "10001.0000 a 0000000000000001 call 0000000000000001-7 forwarded to b"
        ))
    );
    expect_that!(text, contains_substring("ended, answered, 3 tokens"));
}

#[gtest]
fn gaps_are_printed_before_the_events() {
    let mut timeline = merge(fixture::forwarded_call());
    timeline.gaps.push(Gap {
        vm: "a".into(),
        incarnation: Incarnation(1),
        lost: 9,
    });
    expect_that!(
        timeline.to_string(),
        starts_with("# a 0000000000000001 dropped 9 earlier events")
    );
}
