//! Objects of any kind, and sets of them.

use crate::{Class, Endpoint, Model, Service, Tier, Workspace};
use core::fmt;
use serde::{Deserialize, Serialize};

/// The kind of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A class.
    Class,
    /// A tier.
    Tier,
    /// A workspace.
    Workspace,
    /// A model.
    Model,
    /// A service.
    Service,
    /// An endpoint.
    Endpoint,
}

impl Kind {
    /// All kinds, in the order in which a set lists them.
    pub const ALL: [Self; 6] = [
        Self::Class,
        Self::Tier,
        Self::Workspace,
        Self::Model,
        Self::Service,
        Self::Endpoint,
    ];

    /// The value of the field `kind` in files.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Class => "class",
            Self::Tier => "tier",
            Self::Workspace => "workspace",
            Self::Model => "model",
            Self::Service => "service",
            Self::Endpoint => "endpoint",
        }
    }

    /// The kind with this value of the field `kind`; `None` if there is none.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One object of any kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// A class.
    Class(Class),
    /// A tier.
    Tier(Tier),
    /// A workspace.
    Workspace(Workspace),
    /// A model.
    Model(Model),
    /// A service.
    Service(Service),
    /// An endpoint.
    Endpoint(Endpoint),
}

/// A set: all declared objects, by kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectSet {
    /// Classes.
    pub classes: Vec<Class>,
    /// Tiers.
    pub tiers: Vec<Tier>,
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Models.
    pub models: Vec<Model>,
    /// Services.
    pub services: Vec<Service>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
}

impl ObjectSet {
    /// Number of objects of one kind.
    pub const fn count(&self, kind: Kind) -> usize {
        match kind {
            Kind::Class => self.classes.len(),
            Kind::Tier => self.tiers.len(),
            Kind::Workspace => self.workspaces.len(),
            Kind::Model => self.models.len(),
            Kind::Service => self.services.len(),
            Kind::Endpoint => self.endpoints.len(),
        }
    }

    /// Number of objects of all kinds.
    pub fn len(&self) -> usize {
        Kind::ALL.into_iter().map(|kind| self.count(kind)).sum()
    }

    /// Whether the set has no objects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Copies of all objects, kind by kind.
    pub fn objects(&self) -> impl Iterator<Item = Object> {
        let classes = self.classes.iter().cloned().map(Object::Class);
        let tiers = self.tiers.iter().cloned().map(Object::Tier);
        let workspaces = self.workspaces.iter().cloned().map(Object::Workspace);
        let models = self.models.iter().cloned().map(Object::Model);
        let services = self.services.iter().cloned().map(Object::Service);
        let endpoints = self.endpoints.iter().cloned().map(Object::Endpoint);
        classes
            .chain(tiers)
            .chain(workspaces)
            .chain(models)
            .chain(services)
            .chain(endpoints)
    }

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

impl Object {
    /// Name of the object.
    pub fn name(&self) -> &str {
        match self {
            Self::Class(object) => object.name.as_str(),
            Self::Tier(object) => object.name.as_str(),
            Self::Workspace(object) => object.name.as_str(),
            Self::Model(object) => object.name.as_str(),
            Self::Service(object) => object.name.as_str(),
            Self::Endpoint(object) => object.name.as_str(),
        }
    }

    /// Kind of the object.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Class(_) => Kind::Class,
            Self::Tier(_) => Kind::Tier,
            Self::Workspace(_) => Kind::Workspace,
            Self::Model(_) => Kind::Model,
            Self::Service(_) => Kind::Service,
            Self::Endpoint(_) => Kind::Endpoint,
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
