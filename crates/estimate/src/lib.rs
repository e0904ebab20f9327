//! Online quantiles, means and rates that decay with time or with new samples.
//!
//! The length of an answer is not known before it ends, so decisions use the recent calls of
//! the same class on the same route. Old samples lose half their weight each time a fixed number
//! of samples is held, and memory per class and route is bounded.

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
