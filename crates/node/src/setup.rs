//! What a node is started with.

use bon::Builder;
use poplarswitch_entity::Generation;
use poplarswitch_objects::ObjectSet;
use poplarswitch_orders as orders;
use poplarswitch_scheduler::Policy;
use poplarswitch_settings::{Secrets, Settings};

/// Settings, secrets, and a set to start with.
#[derive(Clone, Debug, Builder)]
pub struct Setup {
    /// The settings of the process.
    pub settings: Settings,
    /// Its secrets.
    pub secrets: Secrets,
    /// A set that is in force from the start.
    pub set: Option<ObjectSet>,
    /// The generation of that set.
    #[builder(default = Generation(1))]
    pub generation: Generation,
    /// How calls are ordered.
    #[builder(default)]
    pub policy: Policy,
    /// Periods and bounds of orders to engines.
    #[builder(default = orders::Settings::builder().build())]
    pub orders: orders::Settings,
}
