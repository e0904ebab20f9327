use crate::Profile;
use core::time::Duration;
use googletest::prelude::*;

#[gtest]
fn profile_is_empty_before_the_first_record() {
    let mut profile = Profile::default();
    expect_that!(profile.duration_mean(), none());
    profile.record_first_output(Duration::from_millis(100));
    profile.record_answer(Duration::from_secs(2), 80);
    expect_that!(profile.duration_mean(), some(eq(Duration::from_secs(2))));
    let first = profile.first_output_median().expect("one sample");
    expect_that!(first.as_millis(), all![ge(93), le(107)]);
    expect_that!(profile.tokens_p95(), some(ge(80)));
}
