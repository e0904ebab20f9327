use crate::{Secret, Settings, SettingsError};
use googletest::prelude::*;

const MINIMAL: &str = r#"{"vm": "vm-1", "data_centre": "ifrane", "cell": "atlas"}"#;

#[gtest]
fn json_includes_defaults() {
    let settings = Settings::parse(MINIMAL).expect("parses");
    let json = settings.to_json();
    expect_that!(json, contains_substring("\"body_bytes\": 1048576"));
    expect_that!(Settings::parse(&json).expect("parses"), eq(&settings));
}

#[gtest]
fn unknown_field_is_rejected_with_its_name() {
    let text = r#"{"vm": "a", "data_centre": "b", "cell": "c", "limits": {"bodybytes": 1}}"#;
    let Err(SettingsError::Parse { field, message }) = Settings::parse(text) else {
        panic!("must be rejected");
    };
    expect_that!(field, contains_substring("limits"));
    expect_that!(message, contains_substring("bodybytes"));
}

#[gtest]
fn wrong_type_is_reported_with_the_field() {
    let text = r#"{"vm": "a", "data_centre": "b", "cell": "c", "limits": {"calls": "many"}}"#;
    let Err(SettingsError::Parse { field, .. }) = Settings::parse(text) else {
        panic!("must be rejected");
    };
    expect_that!(field, eq("limits.calls"));
}

#[gtest]
fn debug_output_does_not_contain_the_secret() {
    let text = format!("{:?}", Secret::new("hush"));
    expect_that!(text, not(contains_substring("hush")));
}

#[gtest]
fn text_after_the_settings_is_rejected() {
    let text = format!("{MINIMAL}, \"seeds\": []}}");
    let Err(SettingsError::Parse { message, .. }) = Settings::parse(&text) else {
        panic!("must be rejected");
    };
    expect_that!(message, contains_substring("trailing characters"));
}
