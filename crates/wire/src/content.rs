//! The content of a message, measured while it is read.
//!
//! Engines take other forms than text, such as lists of parts. A tree of such a body takes
//! many times the memory of its text, so only what decides anything is kept: the text of a
//! plain message, and how many bytes of text there are in any form.

use core::fmt;
use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

/// What is said in one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// The text, if it is plain text.
    pub text: Option<String>,
    /// Bytes of text in whatever form.
    pub bytes: usize,
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text, a list of parts or null")
    }

    fn visit_unit<E>(self) -> Result<Content, E> {
        Ok(Content::default())
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Content, E> {
        self.visit_string(v.to_owned())
    }

    fn visit_string<E>(self, v: String) -> Result<Content, E> {
        Ok(Content {
            bytes: v.len(),
            text: Some(v),
        })
    }

    fn visit_seq<A: SeqAccess<'de>>(self, seq: A) -> Result<Content, A::Error> {
        let Bytes(bytes) = BytesVisitor.visit_seq(seq)?;
        Ok(Content { text: None, bytes })
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Content, A::Error> {
        let Bytes(bytes) = BytesVisitor.visit_map(map)?;
        Ok(Content { text: None, bytes })
    }
}

/// Bytes of text in any JSON; nothing else of it is kept.
struct Bytes(usize);

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(BytesVisitor)
    }
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<Bytes, E> {
        Ok(Bytes(0))
    }

    fn visit_bool<E>(self, _: bool) -> Result<Bytes, E> {
        Ok(Bytes(1))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Bytes, E> {
        Ok(Bytes(1))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Bytes, E> {
        Ok(Bytes(1))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Bytes, E> {
        Ok(Bytes(1))
    }

    fn visit_str<E>(self, v: &str) -> Result<Bytes, E> {
        Ok(Bytes(v.len()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Bytes, A::Error> {
        let mut total = 0;
        while let Some(Bytes(bytes)) = seq.next_element()? {
            total += bytes;
        }
        Ok(Bytes(total))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Bytes, A::Error> {
        let mut total = 0;
        while let Some((IgnoredAny, Bytes(bytes))) = map.next_entry()? {
            total += bytes;
        }
        Ok(Bytes(total))
    }
}
