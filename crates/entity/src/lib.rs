//! Identifiers, names and the time type that every other package shares.
//!
//! Objects refer to one another by name; names are cheap to clone because they cross
//! queues, messages and threads. Processes and calls carry numeric identifiers, since a
//! machine that is replaced keeps its name and address but must never be taken for its
//! predecessor. Time is a plain number of microseconds, so that every decision can be
//! replayed in virtual time.

mod ids;
mod names;
mod time;

pub use ids::{Attempt, CallId, FencingNumber, Generation, Incarnation, PrefixHash};
pub use names::{
    AdapterName, CellName, ClassName, DataCentre, EndpointName, ModelName, ModelVersion,
    ServiceName, TierName, VmName, WorkspaceName,
};
pub use time::Time;
