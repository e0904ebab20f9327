//! Identifiers, names and the time type that all other packages share.
//!
//! Objects refer to each other by name. Names are cheap to clone because they are copied between
//! queues, messages and threads. Processes and calls have numeric identifiers, because a VM that
//! replaces another one keeps its name and address but must not be mistaken for it. Time is a
//! plain number of microseconds, so that decisions can be replayed in simulated time.

mod ids;
mod names;
mod time;

pub use ids::{Attempt, CallId, FencingNumber, Generation, Incarnation, PrefixHash};
pub use names::{
    AdapterName, CellName, ClassName, DataCentre, EndpointName, ModelName, ModelVersion,
    ServiceName, TierName, VmName, WorkspaceName,
};
pub use time::Time;
