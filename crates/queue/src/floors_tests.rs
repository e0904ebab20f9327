use crate::{Floors, starvation_bound};
use googletest::prelude::*;

/// Longest run of dispatches to other tiers, for each tier, while all tiers have waiting calls.
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
fn every_tier_is_served_within_its_starvation_bound() {
    for percents in [[0, 0, 0, 0], [0, 10, 5, 0], [0, 90, 90, 90], [50, 1, 40, 2]] {
        let percents = &percents;
        let gaps = longest_gaps(percents, 20_000);
        for (tier, gap) in gaps.iter().enumerate() {
            expect_that!(*gap, le(starvation_bound(percents, tier)));
        }
    }
}

#[gtest]
fn highest_tier_keeps_half_of_the_dispatches() {
    let mut floors = Floors::new(&[0, 90, 90]);
    let mut highest = 0;
    for _ in 0..1_000 {
        let (tier, _) = floors.order().next().expect("a tier waits");
        floors.record_dispatch(tier, |_| true);
        highest += u32::from(tier == 0);
    }
    expect_that!(highest, ge(500));
}

#[gtest]
fn tier_without_waiting_calls_earns_no_credit() {
    let mut floors = Floors::new(&[0, 50]);
    (0..100).for_each(|_| floors.record_dispatch(0, |tier| tier == 0));
    expect_that!(floors.order().next(), some(eq((0, false))));
}
