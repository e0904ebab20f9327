//! Orders and their outcomes.

use crate::{EngineKind, Target};
use poplarswitch_entity::DataCentre;

/// Why a number is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// More engines are needed.
    Demand,
    /// A data centre has fewer engines than its minimum.
    Minimum,
    /// Fewer engines are needed.
    Surplus,
    /// Engines that serve have made these superfluous.
    Replaced,
    /// Engines were reclaimed.
    Reclaimed,
    /// The last order had no answer.
    Unanswered,
    /// Engines are missing that were ordered.
    Missing,
    /// More engines are there than were ordered.
    Excess,
}

impl Reason {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Demand => "demand",
            Self::Minimum => "minimum",
            Self::Surplus => "surplus",
            Self::Replaced => "replaced",
            Self::Reclaimed => "reclaimed",
            Self::Unanswered => "unanswered",
            Self::Missing => "missing",
            Self::Excess => "excess",
        }
    }
}

/// What kept the numbers from the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Limit {
    /// Nothing.
    #[default]
    None,
    /// The most engines that a data centre may have.
    Maximum,
    /// There are no more engines to be had.
    NoneLeft,
    /// Engines are taken away in steps, and not before others serve.
    Pace,
    /// This VM has held the lease too shortly or doesn't see all of the fleet.
    View,
}

impl Order {
    /// Whether the API may refuse it because there are no more engines.
    pub fn may_lack_engines(&self) -> bool {
        let adds = match self.reason {
            Reason::Demand
            | Reason::Minimum
            | Reason::Reclaimed
            | Reason::Unanswered
            | Reason::Missing => true,
            Reason::Surplus | Reason::Replaced | Reason::Excess => false,
        };
        adds && self.kind == EngineKind::Spot
    }
}

impl Limit {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Maximum => "maximum",
            Self::NoneLeft => "none_left",
            Self::Pace => "pace",
            Self::View => "view",
        }
    }
}

/// An absolute number of engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Data centre of the engines.
    pub data_centre: DataCentre,
    /// Their kind.
    pub kind: EngineKind,
    /// How many there should be.
    pub desired: u32,
    /// How many were ordered before, or else were there.
    pub before: u32,
    /// Why the number is ordered.
    pub reason: Reason,
    /// What kept the numbers from the target.
    pub limit: Limit,
    /// The target that the order serves.
    pub target: Target,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted.
    Accepted,
    /// There are no more engines to be had.
    NoneLeft,
    /// It has no answer and may be executed later.
    Unanswered,
    /// It was not accepted and will not be executed.
    Failed,
}
