//! The stand-ins of one deployment.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_deployment::Store;
use poplarswitch_entity::EndpointName;
use poplarswitch_objects::{Endpoint, KeyHash, ObjectSet, Serves};
use poplarswitch_standins::{Engine, EngineSpec, EngineStats, ServerError, Service};
use std::collections::BTreeMap;

/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr =
    SocketAddr::new(core::net::IpAddr::V4(core::net::Ipv4Addr::LOCALHOST), 0);
/// Time between tokens of an engine with one call.
const TOKEN_TIME: Duration = Duration::from_millis(8);

/// An engine and the endpoint that it stands for.
#[derive(Debug)]
pub(super) struct Placed {
    /// The endpoint.
    pub(super) name: EndpointName,
    /// The engine; none after a crash.
    pub(super) engine: Option<Engine>,
    last: EngineStats,
}

/// Store, engines and services.
#[derive(Debug)]
pub(super) struct World {
    /// The platform.
    pub(super) platform: Store,
    /// The engines.
    pub(super) engines: Vec<Placed>,
    services: Vec<Service>,
    /// The set, with the addresses of the stand-ins and the callers' keys.
    pub(super) set: ObjectSet,
}

impl World {
    /// Starts a stand-in for each endpoint of a set.
    pub(super) fn start(mut set: ObjectSet) -> Result<Self, ServerError> {
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for endpoint in &mut set.endpoints {
            if let Some(spec) = engine_spec(endpoint) {
                let engine = Engine::start(ANY_PORT, spec)?;
                endpoint.address = engine.address();
                engines.push(Placed {
                    name: endpoint.name.clone(),
                    engine: Some(engine),
                    last: EngineStats::default(),
                });
            } else {
                let service = Service::start(ANY_PORT)?;
                endpoint.address = service.address();
                services.push(service);
            }
        }
        for workspace in &mut set.workspaces {
            workspace.keys = vec![KeyHash::from_key(&bearer_key(workspace.name.as_str()))];
        }
        let platform = Store::start(ANY_PORT)?;
        Ok(Self {
            platform,
            engines,
            services,
            set,
        })
    }

    /// Ends one engine as a crash does.
    pub(super) fn crash(&mut self, index: usize) -> Option<EndpointName> {
        let placed = self.engines.get_mut(index)?;
        let engine = placed.engine.take()?;
        placed.last = engine.stats();
        Some(placed.name.clone())
    }

    /// Tokens that all engines generated.
    pub(super) fn tokens(&self) -> u64 {
        self.engines
            .iter()
            .map(|placed| placed.stats().tokens)
            .sum()
    }

    /// Runs of each key over all services.
    pub(super) fn runs(&self) -> BTreeMap<String, u32> {
        let mut runs = BTreeMap::new();
        for service in &self.services {
            for (key, count) in service.stats().runs {
                *runs.entry(key).or_default() += count;
            }
        }
        runs
    }
}

impl Placed {
    fn stats(&self) -> EngineStats {
        self.engine.as_ref().map_or(self.last, Engine::stats)
    }
}

/// The bearer key of a workspace's callers.
pub(super) fn bearer_key(workspace: &str) -> String {
    format!("demo-{workspace}")
}

fn engine_spec(endpoint: &Endpoint) -> Option<EngineSpec> {
    let Serves::Model { model, version, .. } = &endpoint.serves else {
        return None;
    };
    Some(EngineSpec {
        model: model.to_string(),
        version: version.to_string(),
        slots: endpoint.slots,
        token_time: TOKEN_TIME,
        fenced: endpoint.fenced,
        ..EngineSpec::default()
    })
}
