//! The content of a chat message, measured while it is parsed.
//!
//! Engines also accept content that is not a string, such as an array of parts. A JSON tree of
//! such a content would take many times the memory of its text, so only what the scheduler
//! needs is kept: the text of a plain message, and the number of bytes of text in any form.

use core::fmt;
use serde::{
    Deserialize, Deserializer,
    de::{Error, IgnoredAny, MapAccess, SeqAccess, Visitor},
};

/// Content of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// The text, if the content is a string.
    pub text: Option<String>,
    /// Bytes of all string values in the content; each number or boolean counts as one byte.
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
        let TextBytes(bytes) = TextBytesVisitor.visit_seq(seq)?;
        Ok(Content { text: None, bytes })
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Content, A::Error> {
        let TextBytes(bytes) = TextBytesVisitor.visit_map(map)?;
        Ok(Content { text: None, bytes })
    }
}

/// Bytes of text in a JSON value, parsed without a copy of the value.
struct TextBytes(usize);

impl<'de> Deserialize<'de> for TextBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(TextBytesVisitor)
    }
}

struct TextBytesVisitor;

impl<'de> Visitor<'de> for TextBytesVisitor {
    type Value = TextBytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_unit<E>(self) -> Result<TextBytes, E> {
        Ok(TextBytes(0))
    }

    fn visit_bool<E>(self, _: bool) -> Result<TextBytes, E> {
        Ok(TextBytes(1))
    }

    fn visit_i64<E>(self, _: i64) -> Result<TextBytes, E> {
        Ok(TextBytes(1))
    }

    fn visit_u64<E>(self, _: u64) -> Result<TextBytes, E> {
        Ok(TextBytes(1))
    }

    fn visit_f64<E>(self, _: f64) -> Result<TextBytes, E> {
        Ok(TextBytes(1))
    }

    fn visit_str<E>(self, v: &str) -> Result<TextBytes, E> {
        Ok(TextBytes(v.len()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TextBytes, A::Error> {
        let mut total = 0;
        while let Some(TextBytes(bytes)) = seq.next_element()? {
            total += bytes;
        }
        Ok(TextBytes(total))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TextBytes, A::Error> {
        let mut total = 0;
        while let Some((IgnoredAny, TextBytes(bytes))) = map.next_entry()? {
            total += bytes;
        }
        Ok(TextBytes(total))
    }
}
