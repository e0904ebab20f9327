//! Resolves a set of objects into a catalog.

use crate::{Catalog, ClassEntry, EndpointEntry, Route, RouteKey, TierEntry, WorkspaceEntry};
use poplarswitch_entity::{ClassName, DataCentre, Generation, TierName};
use poplarswitch_objects::{Class, Endpoint, ObjectSet, Serves, Tier, Workspace};
use snafu::{OptionExt, Snafu};

/// Error of resolving a set; none occurs for a set that the verifier has accepted.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum BuildError {
    /// A class names a tier that does not exist.
    #[snafu(display("class {class}: tier {tier} does not exist"))]
    UnknownTier {
        /// The class.
        class: ClassName,
        /// The missing tier.
        tier: TierName,
    },
}

impl Catalog {
    /// Resolves a set with all of its endpoints.
    ///
    /// Fails if a class names a tier that does not exist.
    pub fn build(set: &ObjectSet, generation: Generation) -> Result<Self, BuildError> {
        Self::build_within(set, generation, &[])
    }

    /// Resolves a set with the endpoints of some data centres, or of all if the list is empty.
    ///
    /// Endpoints in other data centres belong to other cells, whose schedulers count their slots.
    /// Fails if a class names a tier that does not exist.
    pub fn build_within(
        set: &ObjectSet,
        generation: Generation,
        data_centres: &[DataCentre],
    ) -> Result<Self, BuildError> {
        let mut catalog = Self {
            generation,
            ..Self::default()
        };
        for tier in &set.tiers {
            catalog.add_tier(tier);
        }
        catalog.sort_tiers();
        for class in &set.classes {
            catalog.add_class(class)?;
        }
        for workspace in &set.workspaces {
            catalog.add_workspace(workspace);
        }
        for model in &set.models {
            catalog.add_route(Route::Model(model.name.clone()));
            catalog.models.insert(model.name.clone(), model.clone());
        }
        for service in &set.services {
            catalog.add_route(Route::Service(service.name.clone()));
            catalog
                .services
                .insert(service.name.clone(), service.clone());
        }
        let within = |endpoint: &&Endpoint| {
            data_centres.is_empty() || data_centres.contains(&endpoint.data_centre)
        };
        let mut endpoints: Vec<&Endpoint> = set.endpoints.iter().filter(within).collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        for endpoint in endpoints {
            catalog.add_endpoint(endpoint);
        }
        Ok(catalog)
    }

    fn add_tier(&mut self, tier: &Tier) {
        let key = self.tiers.insert(TierEntry { tier: tier.clone() });
        self.tier_names.insert(tier.name.clone(), key);
    }

    fn sort_tiers(&mut self) {
        self.tier_order = self.tiers.keys().collect();
        let tiers = &self.tiers;
        self.tier_order.sort_by_key(|key| tiers[*key].tier.rank);
    }

    fn add_class(&mut self, class: &Class) -> Result<(), BuildError> {
        let tier = self
            .tier(class.tier.as_str())
            .with_context(|| UnknownTierSnafu {
                class: class.name.clone(),
                tier: class.tier.clone(),
            })?;
        let rank = self.tiers[tier].tier.rank;
        let key = self.classes.insert(ClassEntry {
            class: class.clone(),
            tier,
            rank,
        });
        self.class_names.insert(class.name.clone(), key);
        Ok(())
    }

    fn add_workspace(&mut self, workspace: &Workspace) {
        let key = self.workspaces.insert(WorkspaceEntry {
            workspace: workspace.clone(),
        });
        self.workspace_names.insert(workspace.name.clone(), key);
        for hash in &workspace.keys {
            self.key_hashes.insert(hash.clone(), key);
        }
    }

    fn add_route(&mut self, route: Route) -> RouteKey {
        if let Some(key) = self.route(&route) {
            return key;
        }
        let key = self.routes.insert(route.clone());
        self.route_names.insert(route, key);
        key
    }

    fn add_endpoint(&mut self, endpoint: &Endpoint) {
        let route = self.add_route(match &endpoint.serves {
            Serves::Model { model, .. } => Route::Model(model.clone()),
            Serves::Service { service } => Route::Service(service.clone()),
        });
        let key = self.endpoints.insert(EndpointEntry {
            endpoint: endpoint.clone(),
            route,
        });
        self.endpoint_names.insert(endpoint.name.clone(), key);
        self.route_endpoints.entry(route).or_default().push(key);
    }
}
