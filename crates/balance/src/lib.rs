//! Chooses the endpoint of a call by load, prefix affinity, data centre and speed.
//!
//! The balancer keeps an [`Endpoint`] for each endpoint and a pool for each route. A pool has
//! views: the endpoints that calls of one kind may use now, ordered by load. The entries of an
//! endpoint in the views of its pool are updated whenever its state changes, so a choice reads
//! the first entry of an ordered set instead of scanning all endpoints.

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
