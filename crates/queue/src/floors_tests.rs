use crate::{Floors, starvation_bound};
use googletest::prelude::*;

/// Longest run of dispatches that passes over each tier when all of them always wait.
fn longest_gaps(percents: &[u8], dispatches: usize) -> Vec<u64> {
    let mut floors = Floors::new(percents);
    let mut gaps = vec![0_u64; percents.len()];
    let mut longest = gaps.clone();
    for _ in 0..dispatches {
        let (tier, _) = floors.order().next().expect("a tier waits");
        floors.record_dispatch(tier, |_| true);
        for (index, gap) in gaps.iter_mut().enumerate() {
            *gap = if index == tier { 0 } else { *gap + 1 };
            longest[index] = longest[index].max(*gap);
        }
    }
    longest
}

#[gtest]
fn every_tier_is_served_within_its_bound() {
    for percents in [[0, 0, 0, 0], [0, 10, 5, 0], [0, 90, 90, 90], [50, 1, 40, 2]] {
        let percents = &percents;
        let gaps = longest_gaps(percents, 20_000);
        for (tier, gap) in gaps.iter().enumerate() {
            expect_that!(*gap, le(starvation_bound(percents, tier)));
        }
    }
}

#[gtest]
fn the_highest_tier_keeps_half() {
    let mut floors = Floors::new(&[0, 90, 90]);
    let mut top = 0;
    for _ in 0..1_000 {
        let (tier, _) = floors.order().next().expect("a tier waits");
        floors.record_dispatch(tier, |_| true);
        top += u32::from(tier == 0);
    }
    expect_that!(top, ge(500));
}

#[gtest]
fn a_tier_without_work_earns_nothing() {
    let mut floors = Floors::new(&[0, 50]);
    (0..100).for_each(|_| floors.record_dispatch(0, |tier| tier == 0));
    expect_that!(floors.order().next(), some(eq((0, false))));
}
