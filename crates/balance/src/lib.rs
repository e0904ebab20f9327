//! Chooses the endpoint of a call: load, affinity, nearness and stragglers.
//!
//! The balancer keeps one [`Endpoint`] per endpoint and one pool per route. A pool holds views:
//! the endpoints that a kind of call may use now, ordered by load. An endpoint is relisted in its
//! pool's views whenever its state changes, so that a choice reads the top of an ordered
//! set instead of walking the endpoints.

mod balancer;
mod buckets;
mod choose;
mod endpoint;
mod health;
mod hints;
mod load;
mod pool;
mod ring;
mod sync;
mod view;

#[cfg(test)]
mod buckets_tests;
#[cfg(test)]
mod health_tests;
#[cfg(test)]
mod ring_tests;

pub use balancer::{Balancer, Options, Strategy};
pub use choose::Requirements;
pub use endpoint::{Endpoint, EndpointKey};
pub use health::{Health, Outcome, Phase};
pub use pool::{Cap, CapKey, PoolKey};
pub use view::ViewKey;
