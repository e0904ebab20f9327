//! The catalog and its look-ups.

use core::fmt;
use poplarswitch_entity::{
    ClassName, EndpointName, Generation, ModelName, ServiceName, TierName, WorkspaceName,
};
use poplarswitch_objects::{Class, Endpoint, KeyHash, Model, Service, Tier, Workspace};
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;

new_key_type! {
    /// Key of a tier.
    pub struct TierKey;
    /// Key of a class.
    pub struct ClassKey;
    /// Key of a workspace.
    pub struct WorkspaceKey;
    /// Key of an endpoint.
    pub struct EndpointKey;
    /// Key of a route.
    pub struct RouteKey;
}

/// Target of a call; endpoints that serve the same route are interchangeable.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// A model.
    Model(ModelName),
    /// A service.
    Service(ServiceName),
}

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model {name}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

/// A tier.
#[derive(Clone, Debug)]
pub struct TierEntry {
    /// The declared tier.
    pub tier: Tier,
}

/// A class and its tier.
#[derive(Clone, Debug)]
pub struct ClassEntry {
    /// The declared class.
    pub class: Class,
    /// Its tier.
    pub tier: TierKey,
    /// The rank of its tier; 0 is the highest.
    pub rank: u8,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceEntry {
    /// The declared workspace.
    pub workspace: Workspace,
}

/// An endpoint and its route.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The declared endpoint.
    pub endpoint: Endpoint,
    /// The route that it serves.
    pub route: RouteKey,
}

/// A resolved set.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The generation of the set.
    pub generation: Generation,
    /// All tiers.
    pub tiers: SlotMap<TierKey, TierEntry>,
    /// All classes.
    pub classes: SlotMap<ClassKey, ClassEntry>,
    /// All workspaces.
    pub workspaces: SlotMap<WorkspaceKey, WorkspaceEntry>,
    /// All endpoints.
    pub endpoints: SlotMap<EndpointKey, EndpointEntry>,
    /// All routes.
    pub routes: SlotMap<RouteKey, Route>,
    /// Tiers from the highest to the lowest.
    pub tier_order: Vec<TierKey>,
    pub(crate) models: HashMap<ModelName, Model>,
    pub(crate) services: HashMap<ServiceName, Service>,
    pub(crate) tier_names: HashMap<TierName, TierKey>,
    pub(crate) class_names: HashMap<ClassName, ClassKey>,
    pub(crate) workspace_names: HashMap<WorkspaceName, WorkspaceKey>,
    pub(crate) endpoint_names: HashMap<EndpointName, EndpointKey>,
    pub(crate) route_names: HashMap<Route, RouteKey>,
    pub(crate) route_endpoints: HashMap<RouteKey, Vec<EndpointKey>>,
    pub(crate) key_hashes: HashMap<KeyHash, WorkspaceKey>,
}

impl Catalog {
    /// Finds a tier by name.
    pub fn tier(&self, name: &str) -> Option<TierKey> {
        self.tier_names.get(name).copied()
    }

    /// Finds a class by name.
    pub fn class(&self, name: &str) -> Option<ClassKey> {
        self.class_names.get(name).copied()
    }

    /// Finds a workspace by name.
    pub fn workspace(&self, name: &str) -> Option<WorkspaceKey> {
        self.workspace_names.get(name).copied()
    }

    /// Finds an endpoint by name.
    pub fn endpoint(&self, name: &str) -> Option<EndpointKey> {
        self.endpoint_names.get(name).copied()
    }

    /// Finds a model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.get(name)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All models, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.values()
    }

    /// Finds a route.
    pub fn route(&self, route: &Route) -> Option<RouteKey> {
        self.route_names.get(route).copied()
    }

    /// The endpoints that serve a route, sorted by name.
    pub fn endpoints_of(&self, route: RouteKey) -> &[EndpointKey] {
        self.route_endpoints.get(&route).map_or(&[], Vec::as_slice)
    }

    /// The workspace that a hashed bearer key belongs to.
    ///
    /// The look-up compares digests only, so its timing reveals nothing about the key.
    pub fn workspace_of(&self, hash: &KeyHash) -> Option<WorkspaceKey> {
        self.key_hashes.get(hash).copied()
    }
}
