use crate::buckets::Buckets;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

#[gtest]
fn the_least_member_is_the_one_of_an_ordered_map() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut buckets = Buckets::new(50);
    let mut levels: BTreeMap<u32, u32> = BTreeMap::new();
    for _ in 0..20_000 {
        let member = random.random_range(0..50);
        let level = random.random_bool(0.6).then(|| random.random_range(0..300));
        buckets.set(member, level);
        match level {
            Some(level) => levels.insert(member, level.min(255)),
            None => levels.remove(&member),
        };
        let least = buckets.least(random.random(), None);
        let wanted = levels.values().min().copied();
        assert_that!(least.map(|member| levels[&member]), eq(wanted));
        assert_that!(buckets.is_empty(), eq(levels.is_empty()));
    }
}

#[gtest]
fn one_member_can_be_avoided_unless_it_is_alone() {
    let mut buckets = Buckets::new(3);
    buckets.set(0, Some(5));
    expect_that!(buckets.least(7, Some(0)), none());
    buckets.set(2, Some(200));
    expect_that!(buckets.least(7, Some(0)), some(eq(2)));
    expect_that!(buckets.least(7, None), some(eq(0)));
}

#[gtest]
fn equals_are_drawn_alike() {
    let mut buckets = Buckets::new(4);
    (0..4).for_each(|member| buckets.set(member, Some(9)));
    let mut drawn: Vec<u32> = (0..4)
        .filter_map(|draw| buckets.least(draw, None))
        .collect();
    drawn.sort_unstable();
    expect_that!(drawn, eq(&[0, 1, 2, 3]));
}
