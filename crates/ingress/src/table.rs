//! The configuration in the form that calls look up.
//!
//! A table never changes; a newer configuration is a new table. A call keeps the table that it
//! was routed with, so its route, key and limits are of one version.

use crate::config::{Config, Limits, RouteSpec, ServiceSpec, WorkspaceSpec};
use crate::hash::hash_text;
use poplarswitch_entity::{ServiceName, WorkspaceName};
use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

/// A route in force.
pub type Route = RouteSpec;

/// A workspace in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Whether a caller may use a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Without a workspace.
    Open,
    /// For a workspace.
    Granted(Workspace),
    /// The key is unknown or missing.
    Denied,
}

/// The last rank that engines know.
const LAST_RANK: usize = 9;

/// A configuration, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    config: Config,
    /// Pairs of workspace's and route's priority that occur, most urgent first.
    priority_pairs: Vec<(u8, u8)>,
    routes_by_host: HashMap<Box<str>, Vec<Arc<Route>>>,
    keys: HashMap<Box<str>, Workspace>,
    services: HashMap<ServiceName, ServiceSpec>,
}

impl RoutingTable {
    /// Sorts a configuration for look-ups.
    pub fn new(config: Config) -> Self {
        let mut routes_by_host: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase().into();
            routes_by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| core::cmp::Reverse(route.prefix.len()));
        }
        let workspaces = config.workspaces.iter().flatten();
        let keys = workspaces.flat_map(keys_of).collect();
        let services = config.services.iter();
        let services = services.map(|s| (s.name.clone(), s.clone())).collect();
        Self {
            priority_pairs: ranks(&config),
            config,
            routes_by_host,
            keys,
            services,
        }
    }

    /// The version; 0 before any configuration is known.
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// The configuration itself.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Bounds on what callers may send.
    pub const fn limits(&self) -> Limits {
        self.config.limits
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host.get(name) {
            Some(routes) => routes,
            None => self
                .routes_by_host
                .get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Whether a caller with a key may use a route.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        let known = key.and_then(|key| self.keys.get(key));
        match known {
            Some(workspace) => Access::Granted(workspace.clone()),
            None if route.public || self.config.workspaces.is_none() => Access::Open,
            None => Access::Denied,
        }
    }

    /// The rank of a call among all others, 0 first: by its workspace's priority, and among
    /// equals by its route's. Engines know few ranks, so only pairs that occur count.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let pair = pair(workspace.and_then(|w| w.priority), route);
        let place = self.priority_pairs.partition_point(|other| *other < pair);
        let last = self.priority_pairs.len().saturating_sub(1).max(1);
        if last <= LAST_RANK {
            place as u8
        } else {
            (place * LAST_RANK / last) as u8
        }
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The service that a call goes to, by the weights of its route.
    pub fn select_target<'a>(&self, route: &'a Route, call: &str) -> Option<&'a ServiceName> {
        let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return route.targets.first().map(|target| &target.service);
        }
        let mut point = hash_text(call) % total;
        route.targets.iter().find_map(|target| {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
            None
        })
    }
}

fn pair(workspace: Option<u8>, route: &Route) -> (u8, u8) {
    (workspace.unwrap_or(route.priority), route.priority)
}

fn ranks(declared: &Config) -> Vec<(u8, u8)> {
    let stated = declared.workspaces.iter().flatten().map(|w| w.priority);
    let stated: BTreeSet<Option<u8>> = stated.chain([None]).collect();
    let pairs = declared
        .routes
        .iter()
        .flat_map(|route| stated.iter().map(|w| pair(*w, route)));
    let pairs: BTreeSet<(u8, u8)> = pairs.collect();
    pairs.into_iter().collect()
}

fn keys_of(spec: &WorkspaceSpec) -> impl Iterator<Item = (Box<str>, Workspace)> {
    let workspace = Workspace {
        name: spec.name.clone(),
        priority: spec.priority,
    };
    spec.keys
        .iter()
        .map(move |key| (key.clone(), workspace.clone()))
}
