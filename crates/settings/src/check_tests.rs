use crate::{Addresses, Limits, Settings, SettingsError};
use googletest::prelude::*;

#[gtest]
fn all_invalid_values_are_reported_at_once() {
    let mut addresses = Addresses::default();
    addresses.metrics = addresses.callers;
    let settings = Settings::builder()
        .vm("")
        .data_centre("ifrane")
        .cell("atlas")
        .addresses(addresses)
        .platform("platform:80")
        .limits(Limits::builder().calls(0).body_ms(0).build())
        .build();
    let Err(SettingsError::Check { errors }) = settings.validate() else {
        panic!("must be rejected");
    };
    let fields: Vec<&str> = errors.iter().map(|error| error.field.as_str()).collect();
    expect_that!(
        fields,
        elements_are![
            eq(&"vm"),
            eq(&"platform"),
            eq(&"addresses.metrics"),
            eq(&"limits.calls"),
            eq(&"limits.body_ms"),
        ]
    );
}

#[gtest]
fn several_addresses_may_have_port_zero() {
    let settings = Settings::builder()
        .vm("a")
        .data_centre("b")
        .cell("c")
        .addresses(Addresses::loopback())
        .build();
    expect_that!(settings.validate(), ok(anything()));
}
