//! Reads load reports and cache events of the endpoints that this VM is the home of.

use crate::{event::Event, shared::Shared};
use core::time::Duration;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use poplarswitch_entity::{EndpointName, PrefixHash};
use poplarswitch_objects::{Endpoint, Serves};
use poplarswitch_scheduler::{CacheEvent, LoadReport};
use serde::{Deserialize, de::DeserializeOwned};
use std::{collections::HashMap, io, sync::Arc, thread};
use ureq::Agent;

/// Threads that read reports.
const POLLERS: usize = 4;
/// Time between two reports of one endpoint.
const EVERY: Duration = Duration::from_secs(1);
/// Load reports for each reading of cache events, which are hints only.
const LOADS_PER_CACHE: u32 = 4;
/// Longest wait for one report.
const WAIT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Load {
    running: u32,
    queued: u32,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheLine>,
}

#[derive(Deserialize)]
struct CacheLine {
    seq: u64,
    prefix: PrefixHash,
    held: bool,
}

/// Starts the pollers; they end when the other side of the channel is gone.
pub(crate) fn start(shared: &Arc<Shared>, ended: &Receiver<()>) -> io::Result<()> {
    for index in 0..POLLERS {
        let poller = Poller {
            shared: Arc::clone(shared),
            agent: agent(),
            seen: HashMap::new(),
            index,
            rounds: 0,
        };
        let ended = ended.clone();
        thread::Builder::new()
            .name(format!("reports-{index}"))
            .spawn(move || poller.run(&ended))?;
    }
    Ok(())
}

fn agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(WAIT))
        .build()
        .new_agent()
}

struct Poller {
    shared: Arc<Shared>,
    agent: Agent,
    seen: HashMap<EndpointName, u64>,
    index: usize,
    rounds: u32,
}

impl Poller {
    fn run(mut self, ended: &Receiver<()>) {
        while ended.recv_timeout(EVERY) == Err(RecvTimeoutError::Timeout) {
            let polled = self.shared.polled.load_full();
            self.rounds = self.rounds.wrapping_add(1);
            self.seen
                .retain(|name, _| polled.iter().any(|endpoint| endpoint.name == *name));
            for endpoint in polled.iter().skip(self.index).step_by(POLLERS) {
                if matches!(endpoint.serves, Serves::Model { .. }) {
                    self.poll(endpoint);
                }
            }
        }
    }

    fn poll(&mut self, endpoint: &Endpoint) {
        let Some(load) = self.get::<Load>(endpoint, "/v1/load") else {
            self.shared.counters.unreported.inc();
            self.shared.tell(Event::Silent(endpoint.name.clone()));
            return;
        };
        self.shared.tell(Event::Load(LoadReport {
            endpoint: endpoint.name.clone(),
            running: load.running,
            queued: load.queued,
            age: Duration::from_millis(load.age_ms),
        }));
        if self.rounds.is_multiple_of(LOADS_PER_CACHE) {
            self.poll_cache(endpoint);
        }
    }

    fn poll_cache(&mut self, endpoint: &Endpoint) {
        let after = self.seen.get(&endpoint.name).copied().unwrap_or_default();
        let path = format!("/v1/cache-events?after={after}");
        let Some(news) = self.get::<CacheEvents>(endpoint, &path) else {
            return;
        };
        for line in news.events {
            let seen = self.seen.entry(endpoint.name.clone()).or_default();
            *seen = (*seen).max(line.seq);
            self.shared.tell(Event::Cache(CacheEvent {
                endpoint: endpoint.name.clone(),
                prefix: line.prefix,
                held: line.held,
            }));
        }
    }

    fn get<T: DeserializeOwned>(&self, endpoint: &Endpoint, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", endpoint.address);
        let body = self.agent.get(url).call().ok()?.into_body();
        serde_json::from_reader(body.into_reader()).ok()
    }
}
