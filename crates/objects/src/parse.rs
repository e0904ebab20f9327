//! Turns the text of one file into objects.
//!
//! Every object is parsed by itself, so that one bad object does not hide the problems of
//! the others.

use crate::{Kind, Location, Object, ReadError, ReadFault, tree::Tree};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::path::Path;

/// Longest name that is repeated in an error, in characters.
const NAME_CHARS: usize = 80;

/// Longest reason of an error, in characters.
const DETAIL_CHARS: usize = 400;

/// What one file gave.
#[derive(Debug, Default)]
pub struct ParsedFile {
    /// Its good objects with their positions.
    pub objects: Vec<(Location, Object)>,
    /// Its problems.
    pub errors: Vec<ReadError>,
}

/// Parses the text of a file that is called `file` in errors.
pub fn parse(file: &Path, text: &[u8]) -> ParsedFile {
    let mut parsed = ParsedFile::default();
    match serde_json::from_slice(text) {
        Ok(Tree(Value::Array(items))) => {
            for (index, item) in items.into_iter().enumerate() {
                parsed.add(Location::item(file, index), item);
            }
        }
        Ok(Tree(value)) => parsed.add(Location::file(file), value),
        Err(error) => parsed.fail(Location::file(file), not_json(&error)),
    }
    parsed
}

impl ParsedFile {
    fn add(&mut self, location: Location, value: Value) {
        match object(value) {
            Ok(object) => self.objects.push((location, object)),
            Err(wrong) => self.errors.push(wrong.at(location)),
        }
    }

    fn fail(&mut self, location: Location, fault: ReadFault) {
        self.errors.push(Wrong::from(fault).at(location));
    }
}

/// A problem whose place is still to be added.
struct Wrong {
    kind: Option<Kind>,
    name: Option<String>,
    field: Option<String>,
    fault: ReadFault,
}

impl From<ReadFault> for Wrong {
    fn from(fault: ReadFault) -> Self {
        Self {
            kind: None,
            name: None,
            field: None,
            fault,
        }
    }
}

impl Wrong {
    fn at(self, location: Location) -> ReadError {
        ReadError {
            location,
            kind: self.kind,
            name: self.name,
            field: self.field,
            fault: self.fault,
        }
    }
}

fn object(value: Value) -> Result<Object, Wrong> {
    let Value::Object(mut fields) = value else {
        let found = type_of(&value);
        return Err(ReadFault::NotObject { found }.into());
    };
    let name = fields
        .get("name")
        .and_then(Value::as_str)
        .map(|name| shorten(name, NAME_CHARS));
    let kind = kind(&mut fields).map_err(|fault| Wrong {
        name: name.clone(),
        ..fault.into()
    })?;
    of_kind(kind, fields).map_err(|(field, fault)| Wrong {
        kind: Some(kind),
        name,
        field,
        fault,
    })
}

fn kind(fields: &mut Map<String, Value>) -> Result<Kind, ReadFault> {
    let word = fields.remove("kind").ok_or(ReadFault::NoKind)?;
    word.as_str()
        .and_then(Kind::parse)
        .ok_or_else(|| ReadFault::UnknownKind {
            given: shorten(&word.to_string(), NAME_CHARS),
        })
}

type FieldFault = (Option<String>, ReadFault);

fn of_kind(kind: Kind, fields: Map<String, Value>) -> Result<Object, FieldFault> {
    match kind {
        Kind::Class => typed(fields).map(Object::Class),
        Kind::Tier => typed(fields).map(Object::Tier),
        Kind::Workspace => typed(fields).map(Object::Workspace),
        Kind::Model => typed(fields).map(Object::Model),
        Kind::Service => typed(fields).map(Object::Service),
        Kind::Endpoint => typed(fields).map(Object::Endpoint),
    }
}

fn typed<T: DeserializeOwned>(fields: Map<String, Value>) -> Result<T, FieldFault> {
    serde_path_to_error::deserialize(Value::Object(fields)).map_err(|error| {
        let path = shorten(&error.path().to_string(), NAME_CHARS);
        let detail = shorten(&plain(&error.inner().to_string()), DETAIL_CHARS);
        let field = (path != ".").then_some(path);
        (field, ReadFault::WrongField { detail })
    })
}

/// Says ranges instead of the program's own types.
fn plain(detail: &str) -> String {
    detail
        .replace("expected u8", "expected a whole number from 0 to 255")
        .replace(
            "expected u32",
            "expected a whole number from 0 to 4294967295",
        )
        .replace("expected struct ", "expected an object of ")
}

fn not_json(error: &serde_json::Error) -> ReadFault {
    let text = error.to_string();
    let detail = text.split(" at line ").next().unwrap_or_default();
    ReadFault::NotJson {
        line: error.line(),
        column: error.column(),
        detail: shorten(detail, DETAIL_CHARS),
    }
}

const fn type_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a truth value",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

fn shorten(text: &str, chars: usize) -> String {
    text.chars().take(chars).collect()
}
