//! A small set without findings, into which tests introduce mistakes.

use poplarswitch_objects::ObjectSet;
use serde_json::Value;

const VALID_SET: &str = r#"{
    "tiers": [{"name": "high", "rank": 0}, {"name": "low", "rank": 1, "floor_percent": 10,
        "preemptible": true}],
    "classes": [
        {"name": "ask", "tier": "low", "models": ["tiny"],
            "target": {"stream": {"first_token_ms": 900, "inter_token_ms": 40}}},
        {"name": "book", "tier": "high", "services": ["seats"], "repeatable": false,
            "target": {"answer": {"answer_ms": 800}}}],
    "workspaces": [
        {"name": "a", "keys": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]},
        {"name": "b", "keys": ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"]}],
    "models": [{"name": "tiny", "versions": ["1"], "adapters": ["fr"], "default_class": "ask"}],
    "services": [{"name": "seats", "default_class": "book"}],
    "endpoints": [
        {"name": "m1", "address": "127.0.0.1:1", "data_centre": "x", "slots": 4,
            "serves": {"model": {"model": "tiny", "version": "1", "adapters": ["fr"]}}},
        {"name": "s1", "address": "127.0.0.1:2", "data_centre": "x", "slots": 4,
            "serves": {"service": {"service": "seats"}}}]
}"#;

/// The valid set as JSON.
pub(crate) fn tree() -> Value {
    serde_json::from_str(VALID_SET).expect("test set is JSON")
}

/// Parses a set.
pub(crate) fn set(tree: Value) -> ObjectSet {
    serde_json::from_value(tree).expect("test set parses")
}

/// The valid set with the value at a JSON pointer replaced or added.
pub(crate) fn tree_with(pointer: &str, value: Value) -> Value {
    let mut tree = tree();
    set_value(&mut tree, pointer, value);
    tree
}

/// Replaces or adds the value at a JSON pointer; `-` appends it to a list.
pub(crate) fn set_value(tree: &mut Value, pointer: &str, value: Value) {
    let (parent, last) = pointer.rsplit_once('/').expect("a pointer");
    match tree.pointer_mut(parent).expect("the parent exists") {
        Value::Object(map) => {
            map.insert(last.to_owned(), value);
        }
        Value::Array(items) if last == "-" => items.push(value),
        Value::Array(items) => items[last.parse::<usize>().expect("a position")] = value,
        _ => unreachable!("pointers of tests lead into lists and objects"),
    }
}
