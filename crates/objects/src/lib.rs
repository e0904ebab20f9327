//! The declared objects, their JSON form, and the reader of a directory of them.
//!
//! Operators declare tiers, classes, workspaces, models, services and endpoints as named
//! objects that refer to one another by name. An [`ObjectSet`] may be inconsistent, for example
//! refer to a missing object; the verifier checks this separately, so that it can report all
//! errors of a set together instead of only the first.

mod diff;
mod error;
mod kinds;
mod parse;
mod reader;
mod set;
mod strict_value;

#[cfg(test)]
mod diff_tests;
#[cfg(test)]
mod parse_fuzz_tests;
#[cfg(test)]
mod parse_tests;
#[cfg(test)]
mod reader_tests;

pub use diff::{Change, Edit, FieldEdit, diff};
pub use error::{ReadError, ReadFault};
pub use kinds::{
    Class, ClassLimits, Endpoint, KeyHash, Model, Serves, Service, Target, Tier, Workspace,
    WorkspaceLimits,
};
pub use parse::{ParsedFile, parse};
pub use reader::{LocatedSet, Location, MAX_FILE_BYTES, read_dir};
pub use set::{Kind, Object, ObjectSet};
