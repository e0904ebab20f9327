use crate::Sketch;
use googletest::prelude::*;

#[gtest]
fn quantiles_and_mean_are_close_to_the_exact_values() {
    let mut sketch = Sketch::default();
    (1..=1_000).for_each(|value| sketch.record(value));
    expect_that!(sketch.median().expect("samples"), all![ge(450), le(560)]);
    expect_that!(sketch.p95().expect("samples"), all![ge(900), le(1_030)]);
    expect_that!(sketch.mean().expect("samples"), eq(500));
}

#[gtest]
fn old_samples_decay() {
    let mut sketch = Sketch::default();
    (0..2_000).for_each(|_| sketch.record(10));
    (0..2_000).for_each(|_| sketch.record(5_000));
    expect_that!(sketch.median().expect("samples"), ge(4_000));
    expect_that!(sketch.count(), le(1_024));
}

#[gtest]
fn count_stays_positive_after_decay_of_widely_spread_samples() {
    let mut sketch = Sketch::default();
    expect_that!(sketch.median(), none());
    (0..1_024_u64).for_each(|value| sketch.record(value << 21));
    expect_that!(sketch.count(), gt(0));
    expect_that!(sketch.mean(), some(gt(0)));
}
