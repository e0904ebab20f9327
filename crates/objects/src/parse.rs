//! Parses the objects of one file.
//!
//! Every object is parsed independently, so that an invalid object does not hide the errors
//! of the others.

use crate::{Kind, Location, Object, ReadError, ReadFault, strict_value::StrictValue};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::path::Path;

/// Length to which names, kinds and field paths are truncated in errors.
const MAX_NAME_CHARS: usize = 80;

/// Length to which the messages of the JSON parser are truncated in errors.
const MAX_DETAIL_CHARS: usize = 400;

/// The objects and errors of one file.
#[derive(Debug, Default)]
pub struct ParsedFile {
    /// The valid objects with their locations.
    pub objects: Vec<(Location, Object)>,
    /// The errors of the file and of its invalid objects.
    pub errors: Vec<ReadError>,
}

/// Parses the text of a file: one object, or a list of objects.
///
/// `file` is the path that locations and errors give; the file is not read.
pub fn parse(file: &Path, text: &[u8]) -> ParsedFile {
    let mut parsed = ParsedFile::default();
    match serde_json::from_slice(text) {
        Ok(StrictValue(Value::Array(items))) => {
            for (index, item) in items.into_iter().enumerate() {
                parsed.add(Location::item(file, index), item);
            }
        }
        Ok(StrictValue(value)) => parsed.add(Location::file(file), value),
        Err(error) => parsed.add_error(Location::file(file), not_json(&error)),
    }
    parsed
}

impl ParsedFile {
    fn add(&mut self, location: Location, value: Value) {
        match parse_object(value) {
            Ok(object) => self.objects.push((location, object)),
            Err(error) => self.errors.push(error.with_location(location)),
        }
    }

    fn add_error(&mut self, location: Location, fault: ReadFault) {
        self.errors
            .push(UnlocatedError::from(fault).with_location(location));
    }
}

/// An error without its location.
struct UnlocatedError {
    kind: Option<Kind>,
    name: Option<String>,
    field: Option<String>,
    fault: ReadFault,
}

impl From<ReadFault> for UnlocatedError {
    fn from(fault: ReadFault) -> Self {
        Self {
            kind: None,
            name: None,
            field: None,
            fault,
        }
    }
}

impl UnlocatedError {
    fn with_location(self, location: Location) -> ReadError {
        ReadError {
            location,
            kind: self.kind,
            name: self.name,
            field: self.field,
            fault: self.fault,
        }
    }
}

fn parse_object(value: Value) -> Result<Object, UnlocatedError> {
    let Value::Object(mut fields) = value else {
        let found = json_type(&value);
        return Err(ReadFault::NotObject { found }.into());
    };
    let name = fields
        .get("name")
        .and_then(Value::as_str)
        .map(|name| truncate(name, MAX_NAME_CHARS));
    let kind = take_kind(&mut fields).map_err(|fault| UnlocatedError {
        name: name.clone(),
        ..fault.into()
    })?;
    parse_fields(kind, fields).map_err(|(field, fault)| UnlocatedError {
        kind: Some(kind),
        name,
        field,
        fault,
    })
}

fn take_kind(fields: &mut Map<String, Value>) -> Result<Kind, ReadFault> {
    let kind = fields.remove("kind").ok_or(ReadFault::NoKind)?;
    kind.as_str()
        .and_then(Kind::parse)
        .ok_or_else(|| ReadFault::UnknownKind {
            given: truncate(&kind.to_string(), MAX_NAME_CHARS),
        })
}

type FieldFault = (Option<String>, ReadFault);

fn parse_fields(kind: Kind, fields: Map<String, Value>) -> Result<Object, FieldFault> {
    match kind {
        Kind::Class => deserialize(fields).map(Object::Class),
        Kind::Tier => deserialize(fields).map(Object::Tier),
        Kind::Workspace => deserialize(fields).map(Object::Workspace),
        Kind::Model => deserialize(fields).map(Object::Model),
        Kind::Service => deserialize(fields).map(Object::Service),
        Kind::Endpoint => deserialize(fields).map(Object::Endpoint),
    }
}

fn deserialize<T: DeserializeOwned>(fields: Map<String, Value>) -> Result<T, FieldFault> {
    serde_path_to_error::deserialize(Value::Object(fields)).map_err(|error| {
        let path = truncate(&error.path().to_string(), MAX_NAME_CHARS);
        let detail = truncate(
            &describe_types(&error.inner().to_string()),
            MAX_DETAIL_CHARS,
        );
        let field = (path != ".").then_some(path);
        (field, ReadFault::WrongField { detail })
    })
}

/// Replaces Rust types in a message of serde by terms that operators know.
fn describe_types(detail: &str) -> String {
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
        detail: truncate(detail, MAX_DETAIL_CHARS),
    }
}

const fn json_type(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

fn truncate(text: &str, chars: usize) -> String {
    text.chars().take(chars).collect()
}
