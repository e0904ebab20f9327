//! Duties of one VM at a time.
//!
//! Some calls to the platform are made by one VM for all. Which ones there are is declared in the
//! settings; a VM of a deployment that declares none takes no part.

mod clock_offset;
mod collected;
mod reports;
mod totals;

#[cfg(test)]
mod clock_offset_tests;
#[cfg(test)]
mod reports_tests;
#[cfg(test)]
mod totals_tests;

use serde::{Deserialize, Serialize};

pub use clock_offset::ClockOffset;
pub use collected::Collected;
pub use reports::{RecordFound, ReportAction, ReportSettings, Reporter, SLOTS, UsageRecord};
pub use totals::{MAX_TOTALS, TotalsMessage, UsageTotals, WindowTotals};

/// A kind of call that one VM at a time makes for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Reports of the calls of each workspace that began to run.
    Usage,
    /// Orders of numbers of engines.
    Scaling,
}
