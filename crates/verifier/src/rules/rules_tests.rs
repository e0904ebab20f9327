use crate::{Code, Severity, fixture, verify};
use googletest::prelude::*;
use poplarswitch_objects::{Kind, ObjectSet};
use serde_json::{Value, json};

struct Case {
    code: Code,
    kind: Kind,
    field: &'static str,
    edits: Vec<(&'static str, Value)>,
}

fn case(
    code: Code,
    kind: Kind,
    field: &'static str,
    edits: impl Into<Vec<(&'static str, Value)>>,
) -> Case {
    Case {
        code,
        kind,
        field,
        edits: edits.into(),
    }
}

fn invalid_set(case: &Case) -> ObjectSet {
    let mut tree = fixture::tree();
    for (pointer, value) in &case.edits {
        fixture::set_value(&mut tree, pointer, value.clone());
    }
    fixture::set(tree)
}

#[rustfmt::skip]
fn reference_cases() -> Vec<Case> {
    use Code::*;
    use Kind::*;
    vec![
        case(UnknownTier, Class, "tier", [("/classes/0/tier", json!("gone"))]),
        case(UnknownModel, Class, "models[1]", [("/classes/0/models/-", json!("gone"))]),
        case(UnknownService, Class, "services[1]", [("/classes/1/services/-", json!("gone"))]),
        case(UnknownClass, Model, "default_class", [("/models/0/default_class", json!("gone"))]),
        case(UnknownClass, Service, "default_class", [("/services/0/default_class", json!("gone"))]),
        case(UnknownModel, Endpoint, "serves.model.model",
            [("/endpoints/0/serves/model/model", json!("gone"))]),
        case(UnknownVersion, Endpoint, "serves.model.version",
            [("/endpoints/0/serves/model/version", json!("2"))]),
        case(UnknownAdapter, Endpoint, "serves.model.adapters[1]",
            [("/endpoints/0/serves/model/adapters/-", json!("de"))]),
        case(UnknownService, Endpoint, "serves.service.service",
            [("/endpoints/1/serves/service/service", json!("gone"))]),
        case(ClassNotAllowed, Model, "default_class", [("/models/0/default_class", json!("book"))]),
        case(ClassNotAllowed, Service, "default_class", [("/services/0/default_class", json!("ask"))]),
        case(NoEndpoint, Class, "models[0]",
            [("/endpoints/0/serves", json!({"service": {"service": "seats"}}))]),
        case(NoEndpoint, Class, "services[0]",
            [("/endpoints/1/serves", json!({"model": {"model": "tiny", "version": "1"}}))]),
    ]
}

#[rustfmt::skip]
fn name_cases() -> Vec<Case> {
    use Code::*;
    use Kind::*;
    let long = "n".repeat(101);
    vec![
        case(DuplicateName, Tier, "name", [("/tiers/-", json!({"name": "low", "rank": 7}))]),
        case(DuplicateName, Workspace, "name", [("/workspaces/1/name", json!("a"))]),
        case(DuplicateName, Endpoint, "name", [("/endpoints/1/name", json!("m1"))]),
        case(ClassInTwoTiers, Class, "tier",
            [("/classes/1/name", json!("ask"))]),
        case(BadName, Workspace, "name", [("/workspaces/0/name", json!(""))]),
        case(BadName, Workspace, "name", [("/workspaces/0/name", json!("a b"))]),
        case(BadName, Workspace, "name", [("/workspaces/0/name", json!("é"))]),
        case(BadName, Workspace, "name", [("/workspaces/0/name", json!("-a"))]),
        case(BadName, Endpoint, "name", [("/endpoints/0/name", json!("a/b"))]),
        case(BadName, Endpoint, "name", [("/endpoints/0/name", json!(long))]),
        case(BadName, Endpoint, "data_centre", [("/endpoints/0/data_centre", json!("a\n"))]),
        case(BadName, Model, "versions", [("/models/0/versions/-", json!("a b"))]),
        case(BadName, Model, "adapters", [("/models/0/adapters/-", json!(""))]),
        case(RepeatedItem, Class, "models", [("/classes/0/models/-", json!("tiny"))]),
        case(RepeatedItem, Model, "versions", [("/models/0/versions/-", json!("1"))]),
        case(RepeatedItem, Endpoint, "serves.model.adapters",
            [("/endpoints/0/serves/model/adapters/-", json!("fr"))]),
        case(RankConflict, Tier, "rank", [("/tiers/1/rank", json!(0))]),
        case(AddressTwice, Endpoint, "address", [("/endpoints/1/address", json!("127.0.0.1:1"))]),
        case(BadAddress, Endpoint, "address", [("/endpoints/1/address", json!("127.0.0.1:0"))]),
        case(BadAddress, Endpoint, "address", [("/endpoints/1/address", json!("[::]:5"))]),
    ]
}

#[rustfmt::skip]
fn limit_cases() -> Vec<Case> {
    use Code::*;
    use Kind::*;
    let mut cases = vec![
        case(NoVersion, Model, "versions", [("/models/0/versions", json!([]))]),
        case(MinReadyTooHigh, Model, "min_ready", [("/models/0/min_ready", json!(2))]),
        case(AbsurdLimit, Tier, "floor_percent", [("/tiers/0/floor_percent", json!(101))]),
        case(AbsurdLimit, Model, "weight_mb", [("/models/0/weight_mb", json!(u32::MAX))]),
    ];
    let limits = [
        (Class, "target.stream.first_token_ms", "/classes/0/target/stream/first_token_ms"),
        (Class, "target.stream.inter_token_ms", "/classes/0/target/stream/inter_token_ms"),
        (Class, "target.answer.answer_ms", "/classes/1/target/answer/answer_ms"),
        (Class, "max_input_bytes", "/classes/0/max_input_bytes"),
        (Class, "max_output_tokens", "/classes/0/max_output_tokens"),
        (Class, "max_wait_ms", "/classes/0/max_wait_ms"),
        (Workspace, "weight", "/workspaces/0/weight"),
        (Model, "min_ready", "/models/0/min_ready"),
        (Endpoint, "slots", "/endpoints/0/slots"),
    ];
    for (kind, field, pointer) in limits {
        cases.push(case(ZeroLimit, kind, field, [(pointer, json!(0))]));
        cases.push(case(AbsurdLimit, kind, field, [(pointer, json!(u32::MAX))]));
    }
    for field in ["rate", "in_flight", "queued"] {
        let name = ["limits.", field].concat().leak();
        cases.push(case(ZeroLimit, Workspace, name, [("/workspaces/0/limits", json!({field: 0}))]));
        let value = json!({field: u32::MAX});
        cases.push(case(AbsurdLimit, Workspace, name, [("/workspaces/0/limits", value)]));
    }
    for (field, high) in [("queued", json!(u32::MAX)), ("slot_percent", json!(101))] {
        let name = ["limits.", field].concat().leak();
        cases.push(case(ZeroLimit, Class, name, [("/classes/0/limits", json!({field: 0}))]));
        cases.push(case(AbsurdLimit, Class, name, [("/classes/0/limits", json!({field: high}))]));
    }
    cases
}

#[rustfmt::skip]
fn other_cases() -> Vec<Case> {
    use Code::*;
    use Kind::*;
    let hash = "a".repeat(64);
    vec![
        case(BadKeyHash, Workspace, "keys[0]", [("/workspaces/0/keys", json!(["secret"]))]),
        case(BadKeyHash, Workspace, "keys[0]", [("/workspaces/0/keys", json!(["A".repeat(64)]))]),
        case(SharedKey, Workspace, "keys[1]", [("/workspaces/1/keys/-", json!(hash))]),
        case(RepeatedItem, Workspace, "keys[1]", [("/workspaces/0/keys/-", json!(hash))]),
        case(NoKey, Workspace, "keys", [("/workspaces/0/keys", json!([]))]),
        case(NonRepeatablePreemptible, Class, "tier", [("/classes/1/tier", json!("low"))]),
        case(NonRepeatableModel, Class, "models", [("/classes/1/models", json!(["tiny"]))]),
        case(TargetWithoutStream, Class, "target", [("/classes/1/target",
            json!({"stream": {"first_token_ms": 9, "inter_token_ms": 4}}))]),
        case(ImplausibleTarget, Class, "target.stream.inter_token_ms",
            [("/classes/0/target/stream/inter_token_ms", json!(901))]),
        case(ImplausibleTarget, Class, "max_wait_ms", [("/classes/0/max_wait_ms", json!(10))]),
        case(Unused, Class, "models", [("/classes/-",
            json!({"name": "x", "tier": "low", "target": {"answer": {"answer_ms": 5}}}))]),
        case(Unused, Tier, "name", [("/tiers/-", json!({"name": "x", "rank": 9}))]),
        case(Unused, Model, "name", [("/models/-",
            json!({"name": "x", "versions": ["1"], "default_class": "ask"}))]),
        case(Unused, Service, "name", [("/services/-",
            json!({"name": "x", "default_class": "book"}))]),
        case(TooLarge, Model, "", [("/models/0/versions", json!(vec!["v".repeat(100); 3_000]))]),
    ]
}

fn cases() -> Vec<Case> {
    let all = [
        reference_cases(),
        name_cases(),
        limit_cases(),
        other_cases(),
    ];
    all.into_iter().flatten().collect()
}

#[gtest]
fn valid_set_has_no_findings() {
    let findings = verify(&fixture::set(fixture::tree()));
    expect_that!(findings.to_string(), eq(""));
}

#[gtest]
fn each_mistake_gives_one_finding_at_its_field() {
    for case in cases() {
        let findings = verify(&invalid_set(&case));
        let found = findings
            .iter()
            .filter(|finding| finding.code == case.code && finding.kind == Some(case.kind))
            .filter(|finding| finding.field == case.field)
            .count();
        expect_that!(found, eq(1), "{:?} {:?}\n{findings}", case.code, case.edits);
    }
}

#[gtest]
fn findings_of_all_rules_are_reported_together() {
    let mut tree = fixture::tree();
    fixture::set_value(&mut tree, "/tiers/1/rank", json!(0));
    fixture::set_value(&mut tree, "/classes/0/tier", json!("gone"));
    fixture::set_value(&mut tree, "/endpoints/0/slots", json!(0));
    fixture::set_value(&mut tree, "/workspaces/0/keys", json!(["x"]));
    let findings = verify(&fixture::set(tree));
    let codes: Vec<Code> = findings.errors().map(|finding| finding.code).collect();
    expect_that!(
        codes,
        unordered_elements_are![
            eq(&Code::RankConflict),
            eq(&Code::UnknownTier),
            eq(&Code::ZeroLimit),
            eq(&Code::BadKeyHash)
        ]
    );
}

#[gtest]
fn empty_set_high_floors_and_large_set_give_findings_of_the_set() {
    let empty = verify(&ObjectSet::default());
    expect_that!(
        empty.iter().next().map(|finding| finding.code),
        some(eq(Code::EmptySet))
    );
    let mut tree = fixture::tree_with("/tiers/0/floor_percent", json!(95));
    let floors = verify(&fixture::set(tree.clone()));
    expect_that!(
        floors.to_string(),
        contains_substring("add up to 105, expected at most 100")
    );
    let endpoint = tree["endpoints"][0].clone();
    tree["endpoints"] = (0..60_000).map(|_| endpoint.clone()).collect();
    let large = verify(&fixture::set(tree));
    let is_set_size =
        |finding: &&crate::Finding| finding.kind.is_none() && finding.code == Code::TooLarge;
    expect_that!(large.iter().filter(is_set_size).count(), eq(1));
}

#[gtest]
fn message_lists_the_declared_names() {
    let findings = verify(&fixture::set(fixture::tree_with(
        "/classes/0/tier",
        json!("hihg"),
    )));
    expect_that!(
        findings.to_string(),
        starts_with(
            "error: class \"ask\" field `tier`: tier hihg does not exist; declared names: high, low"
        )
    );
    expect_that!(
        findings.errors().next().map(|finding| finding.severity),
        some(eq(Severity::Error))
    );
}
