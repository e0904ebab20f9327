//! Compares two sets.
//!
//! Objects are matched by kind and name. Fields are compared in their JSON form, which is the
//! form that operators write, so new fields of the object types need no change here.

use crate::{Kind, Object, ObjectSet};
use core::fmt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Change of the value of one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldEdit {
    /// Path of the field, such as `limits.rate`.
    pub field: String,
    /// Old value, if the field had one.
    pub old: Option<Value>,
    /// New value, if the field has one.
    pub new: Option<Value>,
}

/// Kind of change of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Only the new set has the object.
    Added,
    /// Only the old set has the object.
    Removed,
    /// Both sets have the object, with different fields.
    Changed {
        /// The fields that differ.
        fields: Vec<FieldEdit>,
    },
}

/// Change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
    /// Kind of change.
    pub edit: Edit,
}

/// Lists the changes from one set to another, by kind and name.
///
/// The order of the objects within the sets is ignored.
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    let (old, new) = (fields_by_id(old), fields_by_id(new));
    let mut changes = Vec::new();
    for (id, fields) in &old {
        let edit = match new.get(id) {
            None => Edit::Removed,
            Some(new_fields) if new_fields == fields => continue,
            Some(new_fields) => Edit::Changed {
                fields: field_edits(fields, new_fields),
            },
        };
        changes.push(change(id, edit));
    }
    let added = new.keys().filter(|id| !old.contains_key(*id));
    changes.extend(added.map(|id| change(id, Edit::Added)));
    changes.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    changes
}

type ObjectId = (Kind, String);
type Fields = BTreeMap<String, Value>;

fn change((kind, name): &ObjectId, edit: Edit) -> Change {
    Change {
        kind: *kind,
        name: name.clone(),
        edit,
    }
}

fn fields_by_id(set: &ObjectSet) -> BTreeMap<ObjectId, Fields> {
    let entry = |object: Object| {
        let mut fields = Fields::new();
        let value = serde_json::to_value(&object).unwrap_or_default();
        flatten(String::new(), value, &mut fields);
        ((object.kind(), object.name().to_owned()), fields)
    };
    set.objects().map(entry).collect()
}

/// Collects the leaves of a JSON value by the paths of their fields; a list is one leaf.
fn flatten(path: String, value: Value, fields: &mut Fields) {
    let Value::Object(map) = value else {
        fields.insert(path, value);
        return;
    };
    for (field, inner) in map {
        let inner_path = if path.is_empty() {
            field
        } else {
            format!("{path}.{field}")
        };
        flatten(inner_path, inner, fields);
    }
}

fn field_edits(old: &Fields, new: &Fields) -> Vec<FieldEdit> {
    let mut fields: Vec<&String> = old.keys().chain(new.keys()).collect();
    fields.sort();
    fields.dedup();
    fields
        .into_iter()
        .filter(|field| old.get(*field) != new.get(*field))
        .map(|field| FieldEdit {
            field: field.clone(),
            old: old.get(field).cloned(),
            new: new.get(field).cloned(),
        })
        .collect()
}

impl fmt::Display for FieldEdit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.field)?;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "{old} -> {new}"),
            (None, Some(new)) => write!(f, "unset -> {new}"),
            (Some(old), None) => write!(f, "{old} -> unset"),
            (None, None) => f.write_str("unset"),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.edit {
            Edit::Added => write!(f, "+ {kind} {name}"),
            Edit::Removed => write!(f, "- {kind} {name}"),
            Edit::Changed { fields } => {
                write!(f, "~ {kind} {name}")?;
                fields.iter().try_for_each(|edit| write!(f, "\n    {edit}"))
            }
        }
    }
}
