use crate::{Secret, Settings, SettingsError};
use googletest::prelude::*;

const SMALL: &str = r#"{"vm": "vm-1", "data_centre": "ifrane", "cell": "atlas"}"#;

#[gtest]
fn fills_in_defaults_and_prints_them() {
    let settings = Settings::parse(SMALL).expect("parses");
    let printed = settings.to_json();
    expect_that!(printed, contains_substring("\"body_bytes\": 1048576"));
    expect_that!(Settings::parse(&printed).expect("parses"), eq(&settings));
}

#[gtest]
fn refuses_an_unknown_field_and_names_it() {
    let text = r#"{"vm": "a", "data_centre": "b", "cell": "c", "limits": {"bodybytes": 1}}"#;
    let Err(SettingsError::Parse { field, message }) = Settings::parse(text) else {
        panic!("must be refused");
    };
    expect_that!(field, contains_substring("limits"));
    expect_that!(message, contains_substring("bodybytes"));
}

#[gtest]
fn names_the_field_of_a_wrong_type() {
    let text = r#"{"vm": "a", "data_centre": "b", "cell": "c", "limits": {"calls": "many"}}"#;
    let Err(SettingsError::Parse { field, .. }) = Settings::parse(text) else {
        panic!("must be refused");
    };
    expect_that!(field, eq("limits.calls"));
}

#[gtest]
fn a_secret_is_not_printed() {
    let text = format!("{:?}", Secret::new("hush"));
    expect_that!(text, not(contains_substring("hush")));
}

#[gtest]
fn refuses_text_after_the_settings() {
    let text = format!("{SMALL}, \"seeds\": []}}");
    let Err(SettingsError::Parse { message, .. }) = Settings::parse(&text) else {
        panic!("must be refused");
    };
    expect_that!(message, contains_substring("trailing characters"));
}
