//! The tiered, fair, bounded queue of waiting calls.
//!
//! Each route has one [`RouteQueue`]. It holds lanes (one per class and adapter) grouped in
//! tiers. Tiers are strict but for a floor that each lower tier is guaranteed. Within a
//! tier the call with the least slack goes next, among the workspaces that have not run
//! ahead of their weighted share. [`Account`] keeps the limits of a workspace so that a
//! tier's room depends on its own and higher tiers' demand only.

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
    /// Refers to a call.
    pub struct CallKey;
    /// Refers to a workspace's account.
    pub struct AccountKey;
}
