use crate::Meter;
use core::time::Duration;
use googletest::prelude::*;
use poplarswitch_entity::Time;

#[gtest]
fn rate_converges_and_decays() {
    let mut meter = Meter::new(Duration::from_secs(5));
    (0..600).for_each(|step| meter.add(Time::from_millis(step * 100), 2.0));
    expect_that!(meter.rate(Time::from_millis(60_000)), near(20.0, 0.5));
    expect_that!(meter.rate(Time::from_millis(90_000)), lt(0.1));
}
