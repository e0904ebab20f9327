use crate::Ewma;
use googletest::prelude::*;

#[gtest]
fn first_samples_are_averaged_and_later_ones_decay() {
    let mut ewma = Ewma::default();
    ewma.record(1.0);
    ewma.record(3.0);
    expect_that!(ewma.mean(), near(2.0, 1e-9));
    (0..50).for_each(|_| ewma.record(10.0));
    expect_that!(ewma.mean(), gt(9.9));
    expect_that!(ewma.count(), eq(52));
}
