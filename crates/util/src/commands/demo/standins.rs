//! Stand-ins for the platform, the engines and the services of one deployment.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_deployment::Store;
use poplarswitch_entity::EndpointName;
use poplarswitch_objects::{Endpoint, KeyHash, ObjectSet, Serves};
use poplarswitch_standins::{Engine, EngineSpec, EngineStats, ServerError, Service};
use std::collections::BTreeMap;

/// Loopback address with port 0, for which the system chooses a free port.
const LOOPBACK_ADDRESS: SocketAddr =
    SocketAddr::new(core::net::IpAddr::V4(core::net::Ipv4Addr::LOCALHOST), 0);
/// Time between two tokens of an engine that runs a single call.
const TOKEN_INTERVAL: Duration = Duration::from_millis(8);

/// The engine of a model endpoint.
#[derive(Debug)]
pub(super) struct EndpointEngine {
    /// Name of the endpoint.
    pub(super) name: EndpointName,
    /// Engine; `None` after a crash.
    pub(super) engine: Option<Engine>,
    final_stats: EngineStats,
}

/// The running stand-ins of one deployment.
#[derive(Debug)]
pub(super) struct Standins {
    /// Platform.
    pub(super) platform: Store,
    /// Engines, one for each model endpoint.
    pub(super) engines: Vec<EndpointEngine>,
    services: Vec<Service>,
    /// Set, with the addresses of the stand-ins and the hashes of the callers' bearer keys.
    pub(super) set: ObjectSet,
}

impl Standins {
    /// Starts the platform and a stand-in for each endpoint of a set.
    pub(super) fn start(mut set: ObjectSet) -> Result<Self, ServerError> {
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for endpoint in &mut set.endpoints {
            if let Some(spec) = engine_spec(endpoint) {
                let engine = Engine::start(LOOPBACK_ADDRESS, spec)?;
                endpoint.address = engine.address();
                engines.push(EndpointEngine {
                    name: endpoint.name.clone(),
                    engine: Some(engine),
                    final_stats: EngineStats::default(),
                });
            } else {
                let service = Service::start(LOOPBACK_ADDRESS)?;
                endpoint.address = service.address();
                services.push(service);
            }
        }
        for workspace in &mut set.workspaces {
            workspace.keys = vec![KeyHash::from_key(&bearer_key(workspace.name.as_str()))];
        }
        let platform = Store::start(LOOPBACK_ADDRESS)?;
        Ok(Self {
            platform,
            engines,
            services,
            set,
        })
    }

    /// Crashes one engine; returns its endpoint, or `None` if there is no such running engine.
    pub(super) fn crash(&mut self, index: usize) -> Option<EndpointName> {
        let endpoint = self.engines.get_mut(index)?;
        let engine = endpoint.engine.take()?;
        endpoint.final_stats = engine.stats();
        Some(endpoint.name.clone())
    }

    /// Number of tokens that all engines generated.
    pub(super) fn tokens(&self) -> u64 {
        self.engines
            .iter()
            .map(|endpoint| endpoint.stats().tokens)
            .sum()
    }

    /// Number of runs of each idempotency key, over all services.
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

impl EndpointEngine {
    fn stats(&self) -> EngineStats {
        self.engine.as_ref().map_or(self.final_stats, Engine::stats)
    }
}

/// Returns the bearer key of a workspace's callers.
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
        token_time: TOKEN_INTERVAL,
        fenced: endpoint.fenced,
        ..EngineSpec::default()
    })
}
