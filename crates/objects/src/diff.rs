//! What differs between two sets.
//!
//! Objects are matched by kind and name. The fields are compared in their JSON form, which
//! is what operators see in their files, so a field that a later version adds is compared
//! without any change here.

use crate::{Kind, Object, ObjectSet};
use core::fmt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldEdit {
    /// The path of the field.
    pub field: String,
    /// Its old value, if it had one.
    pub old: Option<Value>,
    /// Its new value, if it has one.
    pub new: Option<Value>,
}

/// In which way an object differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Edit {
    /// Only the new set has it.
    Added,
    /// Only the old set has it.
    Removed,
    /// Both have it, with other values.
    Changed {
        /// The fields that differ.
        fields: Vec<FieldEdit>,
    },
}

/// An object that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// In which way.
    pub edit: Edit,
}

/// Lists what differs, by kind and name; the order within a set does not count.
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<Change> {
    let (old, new) = (forms(old), forms(new));
    let mut changes = Vec::new();
    for (id, fields) in &old {
        let edit = match new.get(id) {
            None => Edit::Removed,
            Some(now) if now == fields => continue,
            Some(now) => Edit::Changed {
                fields: edits(fields, now),
            },
        };
        changes.push(change(id, edit));
    }
    let added = new.keys().filter(|id| !old.contains_key(*id));
    changes.extend(added.map(|id| change(id, Edit::Added)));
    changes.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    changes
}

type Id = (Kind, String);
type Fields = BTreeMap<String, Value>;

fn change((kind, name): &Id, edit: Edit) -> Change {
    Change {
        kind: *kind,
        name: name.clone(),
        edit,
    }
}

fn forms(set: &ObjectSet) -> BTreeMap<Id, Fields> {
    let form = |object: Object| {
        let mut fields = Fields::new();
        let tree = serde_json::to_value(&object).unwrap_or_default();
        flatten(String::new(), tree, &mut fields);
        ((object.kind(), object.name().to_owned()), fields)
    };
    set.objects().map(form).collect()
}

/// Gives each leaf the path of its field; a list is one leaf.
fn flatten(path: String, value: Value, fields: &mut Fields) {
    let Value::Object(map) = value else {
        fields.insert(path, value);
        return;
    };
    for (field, inner) in map {
        let deeper = if path.is_empty() {
            field
        } else {
            format!("{path}.{field}")
        };
        flatten(deeper, inner, fields);
    }
}

fn edits(old: &Fields, new: &Fields) -> Vec<FieldEdit> {
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
