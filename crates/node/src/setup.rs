//! Configuration with which a node is started.

use bon::Builder;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use poplarswitch_orders as orders;
use poplarswitch_scheduler::Policy;
use poplarswitch_settings::{Secrets, Settings};

/// Settings, secrets and initial set of a node.
#[derive(Clone, Debug, Builder)]
pub struct Setup {
    /// Settings of the process.
    pub settings: Settings,
    /// Secrets of the process.
    pub secrets: Secrets,
    /// Set that is in force from the start.
    pub set: Option<ObjectSet>,
    /// Generation of the initial set.
    #[builder(default = Generation(1))]
    pub generation: Generation,
    /// Policy by which the scheduler orders calls.
    #[builder(default)]
    pub policy: Policy,
    /// Periods and limits of orders to engines.
    #[builder(default = orders::Settings::builder().build())]
    pub orders: orders::Settings,
}
