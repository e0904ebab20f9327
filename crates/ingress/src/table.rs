//! The configuration, indexed for look-ups by calls.
//!
//! A table never changes; a newer configuration gets a new table. A call keeps the table with which
//! it was routed, so its route, key and limits belong to one version.

use crate::config::{Config, Limits, RouteSpec, ServiceSpec, WorkspaceSpec};
use crate::hash::hash_text;
use crate::packed::Packed;
use core::ops::Bound;
use poplarswitch_entity::{ServiceName, WorkspaceName};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, OnceLock},
};

/// A route of the current configuration.
pub type Route = RouteSpec;

/// A workspace of the current configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Priority that takes precedence over the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// Result of an access check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// The call is allowed without a workspace.
    Open,
    /// The call is allowed for a workspace.
    Granted(Workspace),
    /// The key is missing or unknown.
    Denied,
}

/// Routes by their path prefixes.
type PrefixMap = BTreeMap<Box<str>, Arc<Route>>;

/// Highest rank that engines support; ranks start at 0.
const MAX_RANK: usize = 9;

/// A configuration indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    config: Config,
    /// The configuration as other VMs get it, once one has asked for it.
    packed: OnceLock<Packed>,
    /// Priority pairs of workspace and route that occur, highest priority first.
    priority_pairs: Vec<(u8, u8)>,
    /// Routes of each host by their path prefixes.
    routes_by_host: HashMap<Box<str>, PrefixMap>,
    keys: HashMap<Box<str>, Workspace>,
    services: HashMap<ServiceName, ServiceSpec>,
}

impl RoutingTable {
    /// Builds the indices of a configuration.
    pub fn new(config: Config) -> Self {
        let mut routes_by_host: HashMap<Box<str>, PrefixMap> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase().into();
            let routes = routes_by_host.entry(host).or_default();
            let of_prefix = routes.entry(route.prefix.clone());
            of_prefix.or_insert_with(|| Arc::clone(route));
        }
        let workspaces = config.workspaces.iter().flatten();
        let keys = workspaces.flat_map(workspace_keys).collect();
        let services = config.services.iter();
        let services = services.map(|s| (s.name.clone(), s.clone())).collect();
        Self {
            priority_pairs: priority_pairs(&config),
            packed: OnceLock::new(),
            config,
            routes_by_host,
            keys,
            services,
        }
    }

    /// Builds the indices of a configuration that another VM has sent in packed form.
    pub fn with_packed(config: Config, packed: Packed) -> Self {
        Self {
            packed: packed.into(),
            ..Self::new(config)
        }
    }

    /// Version of the configuration; 0 before a configuration is known.
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// The configuration.
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// The configuration in packed form.
    pub fn packed(&self) -> Packed {
        let packed = self.packed.get_or_init(|| Packed::new(&self.config));
        packed.clone()
    }

    /// Limits on requests from callers.
    pub const fn limits(&self) -> Limits {
        self.config.limits
    }

    /// The route with the longest path prefix that matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes_by_host.get(name) {
            Some(routes) => routes,
            None => self
                .routes_by_host
                .get(name.to_ascii_lowercase().as_str())?,
        };
        longest_prefix(routes, path)
    }

    /// Checks whether a caller with this key may use a route. An unknown key is denied on a public route
    /// too, on which no key is needed.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if self.config.workspaces.is_none() {
            return Access::Open;
        }
        let known = key.map(|key| self.keys.get(key));
        match known {
            Some(Some(workspace)) => Access::Granted(workspace.clone()),
            None if route.public => Access::Open,
            None | Some(None) => Access::Denied,
        }
    }

    /// Rank of a call among all calls, 0 first: ordered by the priority of its workspace, then by
    /// that of its route. Engines support few ranks, so only pairs that occur are numbered.
    pub fn rank(&self, route: &Route, workspace: Option<&Workspace>) -> u8 {
        let priority_pair = priority_pair(workspace.and_then(|w| w.priority), route);
        let index = self
            .priority_pairs
            .partition_point(|other| *other < priority_pair);
        let max_index = self.priority_pairs.len().saturating_sub(1).max(1);
        if max_index <= MAX_RANK {
            index as u8
        } else {
            (index * MAX_RANK / max_index) as u8
        }
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Selects the service for a call by the weights of the route's targets.
    pub fn select_target<'a>(&self, route: &'a Route, call_id: &str) -> Option<&'a ServiceName> {
        let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return route.targets.first().map(|target| &target.service);
        }
        let mut point = hash_text(call_id) % total;
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

/// The route with the longest prefix of `path`.
fn longest_prefix<'a>(routes: &'a PrefixMap, path: &str) -> Option<&'a Arc<Route>> {
    let mut last = path;
    loop {
        // All prefixes of `path` that are at most as long as `last` are at or before it.
        let range = (Bound::Unbounded, Bound::Included(last));
        let (prefix, route) = routes.range::<str, _>(range).next_back()?;
        if path.starts_with(&**prefix) {
            return Some(route);
        }
        let pairs = last.char_indices().zip(prefix.chars());
        let differing = pairs.into_iter().find(|((_, a), b)| a != b);
        let common = differing.map_or(last.len().min(prefix.len()), |((at, _), _)| at);
        last = &last[..common];
    }
}

fn priority_pair(workspace: Option<u8>, route: &Route) -> (u8, u8) {
    (workspace.unwrap_or(route.priority), route.priority)
}

fn priority_pairs(config: &Config) -> Vec<(u8, u8)> {
    let priorities = config.workspaces.iter().flatten().map(|w| w.priority);
    let priorities: BTreeSet<Option<u8>> = priorities.chain([None]).collect();
    let pairs = config
        .routes
        .iter()
        .flat_map(|route| priorities.iter().map(|w| priority_pair(*w, route)));
    let pairs: BTreeSet<(u8, u8)> = pairs.collect();
    pairs.into_iter().collect()
}

fn workspace_keys(spec: &WorkspaceSpec) -> impl Iterator<Item = (Box<str>, Workspace)> {
    let workspace = Workspace {
        name: spec.name.clone(),
        priority: spec.priority,
    };
    spec.keys
        .iter()
        .map(move |key| (key.clone(), workspace.clone()))
}
