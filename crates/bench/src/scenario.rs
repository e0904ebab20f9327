//! The scenarios of the benchmark, each with its deployment, its burst of calls and its fault.

use core::{fmt, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

/// Start of the burst of calls.
pub const BURST_START: Time = Time::from_millis(30_000);
/// End of the burst, and of a slowdown of engines.
pub const BURST_END: Time = Time::from_millis(120_000);
/// Time after which no call arrives.
pub const LAST_ARRIVAL: Time = Time::from_millis(150_000);
/// Age of load reports on receipt, except in the lag scenarios.
const DEFAULT_LOAD_LAG: Duration = Duration::from_millis(500);
/// Age of load reports on receipt in the lag scenarios.
const LONG_LOAD_LAG: Duration = Duration::from_secs(5);

/// A scenario: the deployment, the load and the fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Atlas: a burst of briefing calls, as when all sled drivers ask at dawn.
    AtlasBriefing,
    /// Atlas: the chat calls of the planners need twice the capacity of the engines.
    AtlasCrowd2,
    /// Atlas: the chat calls of the planners need five times the capacity of the engines.
    AtlasCrowd5,
    /// Atlas: the briefing burst, in which two engines run at a fifth of their speed.
    AtlasStraggle,
    /// Atlas: the briefing burst, in which an engine and a service replica crash.
    AtlasCrash,
    /// Atlas: the briefing burst with load reports that are 5 s old on receipt.
    AtlasLag,
    /// Abay: a burst of reconciliation calls, as at the end of the month.
    AbayMonthEnd,
    /// Abay: reconciliation calls need twice the capacity of the engines.
    AbayCrowd2,
    /// Abay: reconciliation calls need five times the capacity of the engines.
    AbayCrowd5,
    /// Abay: the reconciliation burst, in which two engines run at a fifth of their speed.
    AbayStraggle,
    /// Abay: the reconciliation burst, in which an engine and a service replica crash.
    AbayCrash,
    /// Abay: the reconciliation burst with load reports that are 5 s old on receipt.
    AbayLag,
}

/// The firm whose deployment a scenario simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Firm {
    /// Atlas Sled & Husky.
    Atlas,
    /// Abay Gas Cylinder.
    Abay,
}

/// The fault that a scenario injects into endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// No fault.
    None,
    /// Two engines run slowly until the end of the burst.
    SlowEngines,
    /// An engine and a service replica crash and are restarted.
    Crash,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 12] = [
        Self::AtlasBriefing,
        Self::AtlasCrowd2,
        Self::AtlasCrowd5,
        Self::AtlasStraggle,
        Self::AtlasCrash,
        Self::AtlasLag,
        Self::AbayMonthEnd,
        Self::AbayCrowd2,
        Self::AbayCrowd5,
        Self::AbayStraggle,
        Self::AbayCrash,
        Self::AbayLag,
    ];

    /// Name on the command line and in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::AtlasBriefing => "atlas-briefing",
            Self::AtlasCrowd2 => "atlas-crowd2",
            Self::AtlasCrowd5 => "atlas-crowd5",
            Self::AtlasStraggle => "atlas-straggle",
            Self::AtlasCrash => "atlas-crash",
            Self::AtlasLag => "atlas-lag",
            Self::AbayMonthEnd => "abay-month-end",
            Self::AbayCrowd2 => "abay-crowd2",
            Self::AbayCrowd5 => "abay-crowd5",
            Self::AbayStraggle => "abay-straggle",
            Self::AbayCrash => "abay-crash",
            Self::AbayLag => "abay-lag",
        }
    }

    /// Finds the scenario that has a name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|scenario| scenario.name() == name)
    }

    pub(crate) const fn firm(self) -> Firm {
        match self {
            Self::AtlasBriefing
            | Self::AtlasCrowd2
            | Self::AtlasCrowd5
            | Self::AtlasStraggle
            | Self::AtlasCrash
            | Self::AtlasLag => Firm::Atlas,
            Self::AbayMonthEnd
            | Self::AbayCrowd2
            | Self::AbayCrowd5
            | Self::AbayStraggle
            | Self::AbayCrash
            | Self::AbayLag => Firm::Abay,
        }
    }

    pub(crate) const fn fault(self) -> EndpointFault {
        match self {
            Self::AtlasStraggle | Self::AbayStraggle => EndpointFault::SlowEngines,
            Self::AtlasCrash | Self::AbayCrash => EndpointFault::Crash,
            _ => EndpointFault::None,
        }
    }

    pub(crate) const fn load_lag(self) -> Duration {
        match self {
            Self::AtlasLag | Self::AbayLag => LONG_LOAD_LAG,
            _ => DEFAULT_LOAD_LAG,
        }
    }

    /// Demand of the overload workload in the burst, as a multiple of the engines' capacity;
    /// `None` outside the crowd scenarios.
    pub(crate) const fn overload_factor(self) -> Option<f64> {
        match self {
            Self::AtlasCrowd2 | Self::AbayCrowd2 => Some(2.0),
            Self::AtlasCrowd5 | Self::AbayCrowd5 => Some(5.0),
            _ => None,
        }
    }
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}
