//! A bounded ring of typed events with a hybrid logical clock, and the merge of many rings.
//!
//! Every process keeps its latest events in memory and hands them out on request; nothing
//! is stored elsewhere. The clock orders an event that one VM causes on another after its
//! cause even if their wall clocks disagree, so that a merged view reads in the order in
//! which things happened. A ring that overflows counts what it lost, since a view with an
//! unmarked gap misleads.

mod clock;
mod event;
mod merge;
mod ring;
mod text;
mod trace;

#[cfg(test)]
mod clock_tests;
#[cfg(test)]
mod fixture;
#[cfg(test)]
mod merge_tests;
#[cfg(test)]
mod ring_tests;
#[cfg(test)]
mod text_tests;
#[cfg(test)]
mod trace_tests;

pub use clock::{Clock, MAX_AHEAD_MS, Stamp};
pub use event::{Event, EventKind, LeaseName, Outcome, RefusalCause};
pub use merge::{Gap, Timeline, merge};
pub use ring::{Recording, Ring};
pub use trace::Trace;
