//! The scenarios: which world, which burst, which fault.

use core::{fmt, time::Duration};
use poplarswitch_entity::Time;
use serde::{Deserialize, Serialize};

/// When the burst or the fault begins.
pub const BURST_START: Time = Time::from_millis(30_000);
/// When the burst or the fault ends.
pub const BURST_END: Time = Time::from_millis(120_000);
/// When the last call arrives.
pub const LAST_ARRIVAL: Time = Time::from_millis(150_000);
/// Lag of load reports in ordinary scenarios.
const USUAL_LAG: Duration = Duration::from_millis(500);
/// Lag of load reports in the lag scenarios.
const LONG_LAG: Duration = Duration::from_secs(5);

/// One situation to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Atlas: the dawn briefings of all mushers at once.
    AtlasBriefing,
    /// Atlas: planner chats ask for twice the capacity.
    AtlasCrowd2,
    /// Atlas: planner chats ask for five times the capacity.
    AtlasCrowd5,
    /// Atlas: two engines run at a fifth of their speed.
    AtlasStraggle,
    /// Atlas: an engine and a booking replica crash in the briefing burst.
    AtlasCrash,
    /// Atlas: the briefing burst with load reports that lag 5 s.
    AtlasLag,
    /// Abay: the reconciliations at the end of the month.
    AbayMonthEnd,
    /// Abay: reconciliations ask for twice the capacity.
    AbayCrowd2,
    /// Abay: reconciliations ask for five times the capacity.
    AbayCrowd5,
    /// Abay: two engines run at a fifth of their speed.
    AbayStraggle,
    /// Abay: an engine and a booking replica crash in the reconciliation burst.
    AbayCrash,
    /// Abay: the reconciliation burst with load reports that lag 5 s.
    AbayLag,
}

/// Whose deployment is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Firm {
    /// Atlas Sled & Husky.
    Atlas,
    /// Abay Gas Cylinder.
    Abay,
}

/// What goes wrong with endpoints during the burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Two engines are slow.
    Straggle,
    /// An engine and a service replica crash and come back.
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

    /// The name on the command line and in tables.
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

    /// Finds a scenario by its name.
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

    pub(crate) const fn trouble(self) -> Trouble {
        match self {
            Self::AtlasStraggle | Self::AbayStraggle => Trouble::Straggle,
            Self::AtlasCrash | Self::AbayCrash => Trouble::Crash,
            _ => Trouble::None,
        }
    }

    pub(crate) const fn lag(self) -> Duration {
        match self {
            Self::AtlasLag | Self::AbayLag => LONG_LAG,
            _ => USUAL_LAG,
        }
    }

    /// How many times the capacity the crowding class asks for.
    pub(crate) const fn crowding(self) -> Option<f64> {
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
