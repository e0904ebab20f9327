//! Errors of reading and parsing files of objects.

use crate::{Kind, Location};
use core::{error::Error, fmt};
use serde::Serialize;
use snafu::Snafu;

/// Cause of a [`ReadError`]; its message names the expected value where one is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "snake_case")]
#[snafu(visibility(pub(crate)))]
pub enum ReadFault {
    /// The file or directory could not be read.
    #[snafu(display("cannot be read: {detail}"))]
    Unreadable {
        /// Error message of the operating system.
        detail: String,
    },
    /// The file is larger than [`MAX_FILE_BYTES`](crate::MAX_FILE_BYTES).
    #[snafu(display("has {bytes} bytes, expected at most {limit}"))]
    TooLarge {
        /// Size of the file in bytes.
        bytes: u64,
        /// Largest size in bytes.
        limit: u64,
    },
    /// There are too many files and directories, or directories are nested too deeply.
    #[snafu(display(
        "holds more than {limit} files and directories, or directories nested too deeply; \
         expected one set of objects"
    ))]
    TooMany {
        /// Largest number of files and directories.
        limit: usize,
    },
    /// The file is not valid JSON, or an object has a field twice.
    #[snafu(display("is not valid JSON at line {line}, column {column}: {detail}"))]
    NotJson {
        /// Line of the error, counted from one.
        line: usize,
        /// Column of the error, counted from one.
        column: usize,
        /// Error message of the JSON parser.
        detail: String,
    },
    /// The file, or an item of its list, is not an object.
    #[snafu(display("is {found}, expected an object or a list of objects"))]
    NotObject {
        /// The type of the value that was found.
        found: &'static str,
    },
    /// The object has no field `kind`.
    #[snafu(display("has no field `kind`, expected one of {}", kinds()))]
    NoKind,
    /// There is no such kind.
    #[snafu(display("unknown kind {given}, expected one of {}", kinds()))]
    UnknownKind {
        /// The kind that the file gives, as JSON.
        given: String,
    },
    /// A field is unknown, missing or of the wrong type.
    #[snafu(display("{detail}"))]
    WrongField {
        /// Error message of the deserializer.
        detail: String,
    },
}

fn kinds() -> String {
    Kind::ALL.map(Kind::as_str).join(", ")
}

/// An error in a file or directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReadError {
    /// Location of the error.
    #[serde(rename = "place")]
    pub location: Location,
    /// Kind of the object, if known.
    pub kind: Option<Kind>,
    /// Name of the object, if known.
    pub name: Option<String>,
    /// Path of the field, if known.
    pub field: Option<String>,
    /// Cause of the error.
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
