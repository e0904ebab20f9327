use super::arrivals::Arrivals;
use core::time::Duration;
use googletest::prelude::*;

#[gtest]
fn arrivals_have_the_given_rate_and_end_in_time() {
    let end = Duration::from_secs(100);
    let times: Vec<Duration> = Arrivals::new(50.0, end, 3).collect();
    expect_that!(times.len(), all!(gt(4_700), lt(5_300)));
    expect_that!(times.is_sorted(), eq(true));
    expect_that!(times.last(), some(lt(&end)));
}

#[gtest]
fn same_seed_gives_the_same_arrivals() {
    let times = |seed| Arrivals::new(5.0, Duration::from_secs(9), seed).collect::<Vec<_>>();
    expect_that!(times(1), eq(&times(1)));
    expect_that!(times(1), not(eq(&times(2))));
}
