//! Numbers of engines that a service needs, by data centre and kind.
//!
//! [`Scaler`] answers a load that rises to a multiple within a second for 3 to 9 s, while a new
//! engine serves only some seconds after its order, and engines that cost less are reclaimed with all
//! others of their data centre. It has no network, clock or threads.

mod history;
mod line;
mod order;
mod pace;
mod policy;
mod scaler;
mod spread;
mod target;

#[cfg(test)]
mod scaler_tests;

pub use history::{History, Load};
pub use line::Present;
pub use order::{Limit, Order, Outcome, Reason};
pub use policy::Policy;
pub use scaler::{Input, LineKey, Scaler};
pub use target::Target;

use core::time::Duration;
use poplarswitch_entity::DataCentre;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limits and prices of the engines of a service, as the operator declares them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScalingSpec {
    /// Fewest engines in each data centre, of both kinds together.
    pub min: u32,
    /// Most engines in each data centre, of both kinds together.
    pub max: u32,
    /// Time from an order until a new engine serves.
    pub boot: Duration,
    /// Price of an engine that may be reclaimed, in thousandths of the price of the others; none if
    /// there are no such engines.
    #[serde(rename = "spot", default)]
    pub spot_permille: Option<u32>,
    /// Price of an engine in each data centre, in thousandths; 1,000 where none is declared.
    #[serde(default)]
    pub prices: BTreeMap<DataCentre, u32>,
}

/// Kind of an engine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum EngineKind {
    /// Stays until it is ordered away.
    #[default]
    Lasting,
    /// Costs less, and may be reclaimed with all others of its data centre.
    Spot,
}
