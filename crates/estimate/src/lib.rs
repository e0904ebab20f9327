//! Online, decaying quantiles of durations and lengths.
//!
//! Nobody knows how long an answer will be until it ends, so decisions rest on what calls
//! of the same class on the same route have lately done. Old samples lose half their
//! weight at fixed steps, and memory is fixed per class and route.

mod ewma;
mod meter;
mod profile;
mod sketch;

#[cfg(test)]
mod ewma_tests;
#[cfg(test)]
mod meter_tests;
#[cfg(test)]
mod profile_tests;
#[cfg(test)]
mod sketch_tests;

pub use ewma::Ewma;
pub use meter::Meter;
pub use profile::Profile;
pub use sketch::Sketch;
