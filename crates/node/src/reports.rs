//! Polls load reports and cache events of the engines whose route has this VM as its home.

use crate::{event::Event, shared::Shared};
use core::time::Duration;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use poplarswitch_entity::{EndpointName, PrefixHash};
use poplarswitch_objects::{Endpoint, Serves};
use poplarswitch_scheduler::{CacheEvent, LoadReport};
use serde::{Deserialize, de::DeserializeOwned};
use std::{collections::HashMap, io, sync::Arc, thread};
use ureq::Agent;

/// Number of polling threads.
const POLLER_COUNT: usize = 4;
/// Time between two polls of one endpoint.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Load polls per poll of the cache events, which are only hints and so are polled less often.
const LOAD_POLLS_PER_CACHE_POLL: u32 = 4;
/// Maximum time for one request to an endpoint.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
struct Load {
    running: u32,
    queued: u32,
    #[serde(default)]
    age_ms: u64,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheChange>,
}

#[derive(Deserialize)]
struct CacheChange {
    seq: u64,
    prefix: PrefixHash,
    held: bool,
}

/// Starts the polling threads, which end when the sender of the channel is dropped.
pub(crate) fn start(shared: &Arc<Shared>, stop: &Receiver<()>) -> io::Result<()> {
    for index in 0..POLLER_COUNT {
        let poller = Poller {
            shared: Arc::clone(shared),
            agent: agent(),
            last_seqs: HashMap::new(),
            index,
            rounds: 0,
        };
        let stop = stop.clone();
        thread::Builder::new()
            .name(format!("reports-{index}"))
            .spawn(move || poller.run(&stop))?;
    }
    Ok(())
}

fn agent() -> Agent {
    Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(REPORT_TIMEOUT))
        .build()
        .new_agent()
}

struct Poller {
    shared: Arc<Shared>,
    agent: Agent,
    last_seqs: HashMap<EndpointName, u64>,
    index: usize,
    rounds: u32,
}

impl Poller {
    fn run(mut self, stop: &Receiver<()>) {
        while stop.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            let endpoints = self.shared.polled_endpoints.load_full();
            self.rounds = self.rounds.wrapping_add(1);
            self.last_seqs
                .retain(|name, _| endpoints.iter().any(|endpoint| endpoint.name == *name));
            for endpoint in endpoints.iter().skip(self.index).step_by(POLLER_COUNT) {
                if matches!(endpoint.serves, Serves::Model { .. }) {
                    self.poll(endpoint);
                }
            }
        }
    }

    fn poll(&mut self, endpoint: &Endpoint) {
        let Some(load) = self.get::<Load>(endpoint, "/v1/load") else {
            self.shared.counters.missing_reports.inc();
            self.shared
                .send_event(Event::LoadUnavailable(endpoint.name.clone()));
            return;
        };
        self.shared.send_event(Event::Load(LoadReport {
            endpoint: endpoint.name.clone(),
            running: load.running,
            queued: load.queued,
            age: Duration::from_millis(load.age_ms),
        }));
        if self.rounds.is_multiple_of(LOAD_POLLS_PER_CACHE_POLL) {
            self.poll_cache(endpoint);
        }
    }

    fn poll_cache(&mut self, endpoint: &Endpoint) {
        let after = self
            .last_seqs
            .get(&endpoint.name)
            .copied()
            .unwrap_or_default();
        let path = format!("/v1/cache-events?after={after}");
        let Some(reply) = self.get::<CacheEvents>(endpoint, &path) else {
            return;
        };
        for change in reply.events {
            let last_seq = self.last_seqs.entry(endpoint.name.clone()).or_default();
            *last_seq = (*last_seq).max(change.seq);
            self.shared.send_event(Event::Cache(CacheEvent {
                endpoint: endpoint.name.clone(),
                prefix: change.prefix,
                held: change.held,
            }));
        }
    }

    fn get<T: DeserializeOwned>(&self, endpoint: &Endpoint, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", endpoint.address);
        let body = self.agent.get(url).call().ok()?.into_body();
        serde_json::from_reader(body.into_reader()).ok()
    }
}
