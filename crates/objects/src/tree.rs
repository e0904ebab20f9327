//! JSON as a tree that refuses repeated fields.
//!
//! A plain JSON tree keeps the last of two fields with one name, so that an operator who
//! edits the first would change nothing.

use core::fmt;
use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::{Map, Number, Value};

/// A JSON value without repeated fields.
#[derive(Debug)]
pub(crate) struct Tree(pub(crate) Value);

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TreeVisitor)
    }
}

struct TreeVisitor;

impl<'de> Visitor<'de> for TreeVisitor {
    type Value = Tree;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree(Value::Null))
    }

    fn visit_bool<E>(self, v: bool) -> Result<Tree, E> {
        Ok(Tree(Value::Bool(v)))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Tree, E> {
        Ok(Tree(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Tree, E> {
        Ok(Tree(v.into()))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Tree, E> {
        let number = Number::from_f64(v).ok_or_else(|| E::custom("number is not finite"))?;
        Ok(Tree(Value::Number(number)))
    }

    fn visit_str<E>(self, v: &str) -> Result<Tree, E> {
        Ok(Tree(v.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(Tree(item)) = seq.next_element()? {
            list.push(item);
        }
        Ok(Tree(Value::Array(list)))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut fields = Map::new();
        while let Some(field) = map.next_key::<String>()? {
            if fields.contains_key(&field) {
                return Err(A::Error::custom(format_args!(
                    "field `{field}` stands twice, expected once"
                )));
            }
            let Tree(value) = map.next_value()?;
            fields.insert(field, value);
        }
        Ok(Tree(Value::Object(fields)))
    }
}
