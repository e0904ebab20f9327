//! Random objects of the platform and header values are parsed or rejected without a panic.

use googletest::prelude::*;
use poplarswitch_keys::{ClaimObject, KeyText, Token};
use poplarswitch_orders::LeaseObject;
use poplarswitch_publish::{Blob, BlobHash, Head, Manifest, join};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

/// Number of cases per property.
const CASES: u32 = 2_000;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(21),
        ..Config::default()
    })
}

/// Texts that resemble JSON, with field names of the stored objects.
fn text() -> impl Strategy<Value = String> {
    let json_like = "(\\{|\\}|\\[|\\]|:|,|\"generation\"|\"hash\"|\"parts\"|\"kind\"|\"tier\"|-?[0-9]{1,25}|\"[a-f0-9]{0,70}\"|null|[ -~]){0,40}";
    prop_oneof![json_like, any::<String>()]
}

#[gtest]
fn platform_objects_are_parsed_or_rejected() {
    let result = runner().run(&text(), |text| {
        let _ = Head::parse(text.as_bytes());
        let _ = serde_json::from_str::<ClaimObject>(&text);
        let _ = serde_json::from_str::<LeaseObject>(&text);
        let blob = Blob(text.into());
        let _ = Manifest::parse(&blob);
        let _ = join(core::iter::once(&blob));
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn keys_and_hashes_are_parsed_or_rejected() {
    let strategy = prop_oneof!["[0-9a-fA-F+.\u{e9}-]{0,80}", any::<String>()];
    let result = runner().run(&strategy, |text| {
        let _ = text.parse::<BlobHash>();
        let token = text.parse::<Token>();
        if let Ok(token) = token {
            let reparsed = token.to_string().parse::<Token>();
            prop_assert_eq!(reparsed, Ok(token));
        }
        let _ = KeyText::new(text).token();
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
