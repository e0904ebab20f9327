//! JSON values whose objects have no duplicate fields.
//!
//! `serde_json::Value` keeps the last of two fields with the same name, so an edit of the
//! first one would have no effect and give no error.

use core::fmt;
use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::{Map, Number, Value};

/// A JSON value that fails to parse if an object has a field twice.
#[derive(Debug)]
pub(crate) struct StrictValue(pub(crate) Value);

impl<'de> Deserialize<'de> for StrictValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(StrictValueVisitor)
    }
}

struct StrictValueVisitor;

impl<'de> Visitor<'de> for StrictValueVisitor {
    type Value = StrictValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<StrictValue, E> {
        Ok(StrictValue(Value::Null))
    }

    fn visit_bool<E>(self, v: bool) -> Result<StrictValue, E> {
        Ok(StrictValue(Value::Bool(v)))
    }

    fn visit_i64<E>(self, v: i64) -> Result<StrictValue, E> {
        Ok(StrictValue(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<StrictValue, E> {
        Ok(StrictValue(v.into()))
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<StrictValue, E> {
        let number = Number::from_f64(v).ok_or_else(|| E::custom("number is not finite"))?;
        Ok(StrictValue(Value::Number(number)))
    }

    fn visit_str<E>(self, v: &str) -> Result<StrictValue, E> {
        Ok(StrictValue(v.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<StrictValue, A::Error> {
        let mut list = Vec::new();
        while let Some(StrictValue(item)) = seq.next_element()? {
            list.push(item);
        }
        Ok(StrictValue(Value::Array(list)))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<StrictValue, A::Error> {
        let mut fields = Map::new();
        while let Some(field) = map.next_key::<String>()? {
            if fields.contains_key(&field) {
                return Err(A::Error::custom(format_args!(
                    "field `{field}` appears twice, expected once"
                )));
            }
            let StrictValue(value) = map.next_value()?;
            fields.insert(field, value);
        }
        Ok(StrictValue(Value::Object(fields)))
    }
}
