//! The decisions of the relay on an entry VM, without I/O.
//!
//! The relay carries calls between callers and endpoints on VMs that have no disk, little
//! memory and a fraction of a core. Every module here takes the time and an input and returns
//! what to do, so that each can be tested under the load or fault that it answers. Sockets,
//! timers and the names on the wire belong to the `relay` package and to the adapter of the
//! deployment.

mod admission;
mod budget;
mod call;
mod declared;
mod engine;
mod entry;
mod feed;
mod fleet;
mod freshness;
mod hash;
mod health;
mod leaving;
mod leftovers;
mod outcome;
mod placement;
mod roster;
mod sides;
mod table;

#[cfg(test)]
mod admission_tests;
#[cfg(test)]
mod budget_tests;
#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod feed_tests;
#[cfg(test)]
mod fleet_tests;
#[cfg(test)]
mod fleet_views_tests;
#[cfg(test)]
mod freshness_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod leaving_tests;
#[cfg(test)]
mod leftovers_tests;
#[cfg(test)]
mod outcome_tests;
#[cfg(test)]
mod placement_tests;
#[cfg(test)]
mod roster_tests;
#[cfg(test)]
mod sides_tests;
#[cfg(test)]
mod table_tests;

pub use admission::{Admission, Gate};
pub use budget::{Budget, Share};
pub use call::{Call, Part, Prompt};
pub use declared::{
    Declared, EngineSpec, Limits, RouteKind, RouteSpec, ServiceSpec, Target, WorkspaceSpec,
};
pub use engine::{Engine, Report, Usual, work};
pub use entry::{Entry, EntryState, Gone, News, Removal};
pub use feed::{Cursor, FeedAsk, FeedReply, Source, Sources};
pub use fleet::{Endpoint, EndpointKey, Fleet, FleetChange, Transition};
pub use freshness::Freshness;
pub use hash::{hash_pair, hash_text};
pub use health::Health;
pub use leaving::{Leaving, Stage};
pub use leftovers::{Leftovers, VmEntry};
pub use outcome::{Next, Outcome, Tries, Verdict, decide, verdict};
pub use placement::{Ask, Choice, Decision, Pressure, Reason};
pub use roster::{Beat, Known, Member, Phase, Roster, Work};
pub use sides::{Demand, Side, Sides};
pub use table::{Access, Route, Table, Workspace};
