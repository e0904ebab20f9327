//! A whole set of objects.

use crate::{Class, Endpoint, Model, Service, Tier, Workspace};
use serde::{Deserialize, Serialize};

/// One object of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A request class.
    Class(Class),
    /// A tier.
    Tier(Tier),
    /// A workspace.
    Workspace(Workspace),
    /// A model.
    Model(Model),
    /// A plain service.
    Service(Service),
    /// An endpoint.
    Endpoint(Endpoint),
}

/// All declared objects, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Models.
    pub models: Vec<Model>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl ObjectSet {
    /// Adds one object to the list of its kind.
    pub fn push(&mut self, object: Object) {
        match object {
            Object::Class(class) => self.classes.push(class),
            Object::Tier(tier) => self.tiers.push(tier),
            Object::Workspace(workspace) => self.workspaces.push(workspace),
            Object::Model(model) => self.models.push(model),
            Object::Service(service) => self.services.push(service),
            Object::Endpoint(endpoint) => self.endpoints.push(endpoint),
        }
    }
}

impl FromIterator<Object> for ObjectSet {
    fn from_iter<I: IntoIterator<Item = Object>>(iter: I) -> Self {
        let mut set = Self::default();
        for object in iter {
            set.push(object);
        }
        set
    }
}
