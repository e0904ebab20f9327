//! What can be wrong with a file.

use crate::{Kind, Location};
use core::{error::Error, fmt};
use serde::Serialize;
use snafu::Snafu;

/// What is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum ReadFault {
    /// The file or directory could not be read.
    #[snafu(display("cannot be read: {detail}"))]
    Unreadable {
        /// The system's reason.
        detail: String,
    },
    /// The file is larger than any set may be.
    #[snafu(display("has {bytes} bytes, expected at most {limit}"))]
    TooLarge {
        /// Its size.
        bytes: u64,
        /// The limit.
        limit: u64,
    },
    /// There are more files or deeper directories than a set needs.
    #[snafu(display("holds more than {limit} files or directories, expected one set of objects"))]
    TooMany {
        /// The limit.
        limit: usize,
    },
    /// The file is no JSON, or a field stands twice.
    #[snafu(display("is not valid JSON at line {line}, column {column}: {detail}"))]
    NotJson {
        /// Line of the error, from one.
        line: usize,
        /// Column of the error, from one.
        column: usize,
        /// The parser's reason.
        detail: String,
    },
    /// The file holds something else than an object or a list of objects.
    #[snafu(display("is {found}, expected an object or a list of objects"))]
    NotObject {
        /// What it holds.
        found: &'static str,
    },
    /// The object has no kind.
    #[snafu(display("has no field `kind`, expected one of {}", kinds()))]
    NoKind,
    /// No such kind.
    #[snafu(display("unknown kind {given}, expected one of {}", kinds()))]
    UnknownKind {
        /// What the file says.
        given: String,
    },
    /// A field is unknown, missing or of the wrong type.
    #[snafu(display("{detail}"))]
    WrongField {
        /// The reason and what would be right.
        detail: String,
    },
}

fn kinds() -> String {
    Kind::ALL.map(Kind::as_str).join(", ")
}

/// One problem of one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReadError {
    /// Where.
    #[serde(rename = "place")]
    pub location: Location,
    /// The kind of the object, as far as known.
    pub kind: Option<Kind>,
    /// Its name, as far as known.
    pub name: Option<String>,
    /// The path of the field, as far as known.
    pub field: Option<String>,
    /// What is wrong.
    pub fault: ReadFault,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.location)?;
        if let Some(kind) = self.kind {
            write!(f, "{kind} ")?;
        }
        if let Some(name) = &self.name {
            write!(f, "{name:?} ")?;
        }
        if let Some(field) = &self.field {
            write!(f, "field `{field}`: ")?;
        }
        write!(f, "{}", self.fault)
    }
}

impl Error for ReadError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(&self.fault)
    }
}
