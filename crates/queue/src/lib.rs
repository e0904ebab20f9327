//! The tiered, fair, bounded queue of waiting calls.
//!
//! Each route has one [`RouteQueue`]. Its calls are kept in lanes, one per class and adapter,
//! and the lanes are grouped by tier. Tiers are served in strict priority order, except that
//! each tier below the highest is guaranteed a share of the dispatches, its floor. Within a
//! tier, the call with the least slack is served first, but a workspace that has used more than
//! its weighted fair share yields to calls of other workspaces that are close to their
//! deadline. [`Account`] enforces the limits of a workspace in such a way that calls of lower
//! tiers never use up the allowance of a higher tier.

mod account;
mod floors;
mod lane;
mod route;
mod tier;

#[cfg(test)]
mod account_tests;
#[cfg(test)]
mod floors_tests;
#[cfg(test)]
mod route_tests;

pub use account::Account;
pub use floors::{Floors, starvation_bound};
pub use lane::{LaneKey, Position};
pub use route::{Pick, QueuedCall, RouteQueue};

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a call.
    pub struct CallKey;
    /// Identifies a workspace's account.
    pub struct AccountKey;
}
