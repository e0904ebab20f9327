//! The declared objects, their JSON form, and the reader of a directory of them.
//!
//! Operators describe their world as named objects that refer to one another by name. A
//! whole set is one value here; whether it is consistent is the verifier's concern, so
//! that it can report every error of a set at once instead of the first.

mod diff;
mod fault;
mod kinds;
mod parse;
mod reader;
mod set;
mod tree;

#[cfg(test)]
mod diff_tests;
#[cfg(test)]
mod parse_fuzz_tests;
#[cfg(test)]
mod parse_tests;
#[cfg(test)]
mod reader_tests;

pub use diff::{Change, Edit, FieldEdit, diff};
pub use fault::{ReadError, ReadFault};
pub use kinds::{
    Class, ClassLimits, Endpoint, KeyHash, Model, Serves, Service, Target, Tier, Workspace,
    WorkspaceLimits,
};
pub use parse::{ParsedFile, parse};
pub use reader::{LocatedSet, Location, MAX_FILE_BYTES, read_dir};
pub use set::{Kind, Object, ObjectSet};
