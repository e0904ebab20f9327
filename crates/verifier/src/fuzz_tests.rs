use crate::{VerifiedSet, fixture, verify};
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use proptest::{
    collection::vec,
    prelude::*,
    sample::{Index, select},
    test_runner::{Config, RngSeed},
};
use serde_json::{Value, json};

/// Texts that the objects of the test set use, and some that are invalid.
const TEXTS: &[&str] = &[
    "high",
    "low",
    "ask",
    "book",
    "tiny",
    "seats",
    "fr",
    "1",
    "a",
    "m1",
    "",
    "a b",
    "127.0.0.1:1",
    "127.0.0.1:9",
];

#[derive(Clone, Debug)]
enum Edit {
    Text(&'static str),
    Number(u32),
    Bool(bool),
    Remove,
    Repeat,
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        select(TEXTS).prop_map(Edit::Text),
        select(vec![0, 1, 2, 50, 100, 101, 255, u32::MAX]).prop_map(Edit::Number),
        any::<bool>().prop_map(Edit::Bool),
        Just(Edit::Remove),
        Just(Edit::Repeat),
    ]
}

/// Collects JSON pointers to all values, including lists and objects.
fn pointers(value: &Value, path: &str, found: &mut Vec<String>) {
    found.push(path.to_owned());
    match value {
        Value::Array(list) => {
            for (position, item) in list.iter().enumerate() {
                pointers(item, &format!("{path}/{position}"), found);
            }
        }
        Value::Object(map) => {
            for (field, item) in map {
                pointers(item, &format!("{path}/{field}"), found);
            }
        }
        _ => {}
    }
}

fn apply(tree: &mut Value, selector: Index, edit: &Edit) {
    let mut paths = Vec::new();
    pointers(tree, "", &mut paths);
    let path = selector.get(&paths);
    let Some((parent, last)) = path.rsplit_once('/') else {
        return;
    };
    match (edit, tree.pointer_mut(parent)) {
        (Edit::Remove, Some(Value::Array(items))) => {
            items.remove(last.parse::<usize>().expect("a position"));
        }
        (Edit::Remove, Some(Value::Object(map))) => {
            map.remove(last);
        }
        (Edit::Repeat, Some(Value::Array(items))) => {
            let item = items[last.parse::<usize>().expect("a position")].clone();
            items.push(item);
        }
        (Edit::Text(text), _) => replace(tree, path, json!(text)),
        (Edit::Number(number), _) => replace(tree, path, json!(number)),
        (Edit::Bool(value), _) => replace(tree, path, json!(value)),
        _ => {}
    }
}

/// Replaces a value by one of the same type only, so that most edited sets still parse.
fn replace(tree: &mut Value, path: &str, new: Value) {
    if let Some(old) = tree.pointer_mut(path)
        && core::mem::discriminant(old) == core::mem::discriminant(&new)
    {
        *old = new;
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(29),
        ..Config::default()
    })]

    #[test]
    fn catalog_can_be_built_from_verified_set(edits in vec((any::<Index>(), edit()), 0..5)) {
        let mut tree = fixture::tree();
        for (selector, edit) in &edits {
            apply(&mut tree, *selector, edit);
        }
        if let Ok(set) = serde_json::from_value::<ObjectSet>(tree)
            && let Ok(verified) = VerifiedSet::new(&set)
        {
            let catalog = Catalog::build(verified.set(), Generation(1));
            let catalog = catalog.map_err(|error| TestCaseError::fail(error.to_string()))?;
            for class in &set.classes {
                prop_assert!(catalog.class(class.name.as_str()).is_some());
            }
            for endpoint in &set.endpoints {
                prop_assert!(catalog.endpoint(endpoint.name.as_str()).is_some());
            }
            prop_assert_eq!(catalog.tiers.len(), set.tiers.len());
            prop_assert_eq!(catalog.classes.len(), set.classes.len());
            prop_assert_eq!(catalog.workspaces.len(), set.workspaces.len());
        }
    }

    #[test]
    fn verifying_random_json_is_deterministic_and_does_not_panic(text in "[\\[\\]{}:,\"a-z0-9]{0,60}") {
        if let Ok(set) = serde_json::from_str::<ObjectSet>(&text) {
            prop_assert_eq!(verify(&set), verify(&set));
        }
    }
}
