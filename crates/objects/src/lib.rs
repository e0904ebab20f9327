//! The declared objects, their JSON form, and the reader of a directory of them.
//!
//! Operators describe their world as named objects that refer to one another by name. A
//! whole set is one value here; whether it is consistent is the verifier's concern, so
//! that it can report every error of a set at once instead of the first.

mod kinds;
mod set;

pub use kinds::{
    Class, ClassLimits, Endpoint, KeyHash, Limits, Model, Serves, Service, Target, Tier, Workspace,
};
pub use set::{Object, ObjectSet};
