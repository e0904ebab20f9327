//! Chooses the endpoint of a call: load, affinity, nearness and stragglers.
//!
//! The balancer keeps one [`Site`] per endpoint and one pool per route. A pool holds views:
//! the sites that a kind of call may use now, ordered by load. A site is relisted in its
//! pool's views whenever its state changes, so that a choice reads the top of an ordered
//! set instead of walking the endpoints.

mod balancer;
mod buckets;
mod choose;
mod health;
mod hints;
mod load;
mod pool;
mod ring;
mod site;
mod sync;
mod view;

#[cfg(test)]
mod buckets_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod ring_tests;

pub use balancer::{Balancer, Options, Style};
pub use choose::Ask;
pub use health::{Health, Outcome, Phase};
pub use pool::{Cap, CapKey, PoolKey};
pub use site::{Site, SiteKey};
pub use view::ViewKey;
