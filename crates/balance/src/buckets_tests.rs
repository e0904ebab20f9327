use crate::buckets::Buckets;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

#[gtest]
fn least_member_has_the_lowest_level_of_a_reference_map() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut buckets = Buckets::new(50);
    let mut levels: BTreeMap<u32, u32> = BTreeMap::new();
    for _ in 0..20_000 {
        let member = rng.random_range(0..50);
        let level = rng.random_bool(0.6).then(|| rng.random_range(0..300));
        buckets.set(member, level);
        match level {
            Some(level) => levels.insert(member, level.min(255)),
            None => levels.remove(&member),
        };
        let least = buckets.least(rng.random(), None);
        let expected = levels.values().min().copied();
        assert_that!(least.map(|member| levels[&member]), eq(expected));
        assert_that!(buckets.is_empty(), eq(levels.is_empty()));
    }
}

#[gtest]
fn avoided_member_is_not_returned_even_if_alone() {
    let mut buckets = Buckets::new(3);
    buckets.set(0, Some(5));
    expect_that!(buckets.least(7, Some(0)), none());
    buckets.set(2, Some(200));
    expect_that!(buckets.least(7, Some(0)), some(eq(2)));
    expect_that!(buckets.least(7, None), some(eq(0)));
}

#[gtest]
fn draw_selects_each_member_of_the_lowest_level() {
    let mut buckets = Buckets::new(4);
    (0..4).for_each(|member| buckets.set(member, Some(9)));
    let mut drawn: Vec<u32> = (0..4)
        .filter_map(|draw| buckets.least(draw, None))
        .collect();
    drawn.sort_unstable();
    expect_that!(drawn, eq(&[0, 1, 2, 3]));
}
