//! Ring buffers of typed events, stamped by a hybrid logical clock, and their merge.
//!
//! Every process keeps its latest events in a bounded ring buffer in memory and returns them on
//! request; they are stored nowhere else. The logical clock gives an event that one VM causes on
//! another a later stamp than its cause even if their wall clocks disagree, so that a merged
//! timeline is in causal order. A ring counts the events that it drops, since a gap that a
//! timeline doesn't show would mislead its readers.

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
