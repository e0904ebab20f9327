use crate::{Kind, ParsedFile, ReadFault, parse};
use googletest::prelude::*;
use std::path::Path;

fn parsed(text: &str) -> ParsedFile {
    parse(Path::new("a.json"), text.as_bytes())
}

#[gtest]
fn error_gives_location_object_field_and_expected_value() {
    let cases = [
        (
            "{",
            "a.json: is not valid JSON at line 1, column 1: EOF while parsing an object",
        ),
        (
            "7",
            "a.json: is a number, expected an object or a list of objects",
        ),
        (
            "[[]]",
            "a.json[0]: is a list, expected an object or a list of objects",
        ),
        (
            r#"{"name": "x"}"#,
            "a.json: \"x\" has no field `kind`, expected one of class, tier, \
            workspace, model, service, endpoint",
        ),
        (
            r#"{"kind": "clas"}"#,
            "a.json: unknown kind \"clas\", expected one of class, tier, \
            workspace, model, service, endpoint",
        ),
        (
            r#"{"kind": "tier", "name": "x", "rank": 0, "rnak": 1}"#,
            "a.json: tier \"x\" field \
            `rnak`: unknown field `rnak`, expected one of `name`, `rank`, `floor_percent`, \
            `preemptible`",
        ),
        (
            r#"{"kind": "tier", "name": "x", "rank": 300}"#,
            "a.json: tier \"x\" field `rank`: \
            invalid value: integer `300`, expected a whole number from 0 to 255",
        ),
        (
            r#"{"kind": "tier", "name": "x"}"#,
            "a.json: tier \"x\" missing field `rank`",
        ),
        (
            r#"{"kind": "tier", "name": "x", "rank": 1, "rank": 2}"#,
            "a.json: is not valid JSON \
            at line 1, column 47: field `rank` appears twice, expected once",
        ),
        (
            r#"{"kind": "class", "name": "x", "tier": "t", "target": {"answer": {"answer_s": 1}}}"#,
            "a.json: class \"x\" field `target.answer.answer_s`: unknown field `answer_s`, \
            expected `answer_ms`",
        ),
        (
            r#"{"kind": "service", "name": "x", "default_class": 4}"#,
            "a.json: service \"x\" field \
            `default_class`: invalid type: integer `4`, expected a string",
        ),
    ];
    for (text, message) in cases {
        let errors: Vec<String> = parsed(text)
            .errors
            .iter()
            .map(ToString::to_string)
            .collect();
        expect_that!(errors, eq(&[message]), "{text}");
    }
}

#[gtest]
fn invalid_object_does_not_hide_other_objects_and_errors() {
    let found = parsed(
        r#"[{"kind": "tier", "name": "a", "rank": 0}, {"kind": "tier", "name": "b"},
            {"kind": "?"}, {"kind": "tier", "name": "c", "rank": 1}]"#,
    );
    expect_that!(found.objects.len(), eq(2));
    expect_that!(found.errors.len(), eq(2));
    expect_that!(found.errors[0].kind, some(eq(Kind::Tier)));
    expect_that!(found.errors[1].location.index, some(eq(2)));
}

#[gtest]
fn deeply_nested_json_is_an_error() {
    let found = parsed(&"[".repeat(100_000));
    expect_that!(found.errors.len(), eq(1));
    expect_that!(
        matches!(found.errors[0].fault, ReadFault::NotJson { .. }),
        eq(true)
    );
}

#[gtest]
fn long_texts_are_truncated_in_errors() {
    let long = "x".repeat(100_000);
    let found = parsed(&format!(
        r#"[{{"kind": "{long}"}}, {{"kind": "tier", "name": "{long}", "{long}": 1}}]"#
    ));
    expect_that!(found.errors.len(), eq(2));
    for error in &found.errors {
        expect_that!(error.to_string().len(), lt(1_000));
    }
}
