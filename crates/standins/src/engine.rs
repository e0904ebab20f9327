//! A model engine with continuous batching, priorities, streams and a prefix cache.
//!
//! Time between tokens grows with the batch, prompts that are not cached take time to read,
//! and calls beyond the slots wait in the order of their priority. Load reports lag and cache
//! events are late and incomplete, as the router must expect of real engines.

mod batch;
mod cache;
mod http;
mod orders;
mod reports;
mod stream;

use crate::{ServerError, server::Server, service::lock};
use batch::Batch;
use cache::PrefixCache;
use core::{net::SocketAddr, time::Duration};
pub use orders::LoadSpan;
use orders::Loaded;
use reports::Reports;
use std::sync::{Arc, Mutex};
use stream::Streams;

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The model that it holds at first.
    pub model: String,
    /// The version of the model.
    pub version: String,
    /// Calls in one batch.
    pub slots: u32,
    /// Time between tokens in an empty batch.
    pub token_time: Duration,
    /// Time that each other call in the batch adds between tokens.
    pub batch_cost: Duration,
    /// Time to read one uncached token of a prompt.
    pub prefill_time: Duration,
    /// Prefixes that the cache holds.
    pub cache_entries: usize,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
    /// Time to load a model.
    pub load_time: Duration,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            model: "assistant".to_owned(),
            version: "1".to_owned(),
            slots: 8,
            token_time: Duration::from_millis(5),
            batch_cost: Duration::from_micros(200),
            prefill_time: Duration::from_micros(20),
            cache_entries: 256,
            fenced: true,
            load_time: Duration::from_millis(200),
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Added to the time of each token, in percent of it.
    pub slow_percent: u32,
    /// Age of each load report.
    pub report_lag: Duration,
    /// Share of cache events that are lost, in percent.
    pub loss_percent: u8,
    /// Says that it did not run any call.
    pub decline: bool,
    /// Cuts each stream after this many tokens.
    pub cut_after: Option<u32>,
    /// Stops sending after this many tokens, with the connection open.
    pub stall_after: Option<u32>,
}

/// What an engine has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Calls that entered the batch.
    pub started: u64,
    /// Calls that were answered whole.
    pub finished: u64,
    /// Calls that ended early.
    pub stopped: u64,
    /// Calls that were resumed.
    pub resumed: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
    /// Orders that took effect.
    pub orders: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Calls in the batch now.
    pub running: u32,
}

#[derive(Debug)]
struct State {
    spec: EngineSpec,
    faults: Mutex<EngineFaults>,
    stats: Mutex<EngineStats>,
    batch: Arc<Mutex<Batch>>,
    cache: Mutex<PrefixCache>,
    streams: Mutex<Streams>,
    reports: Mutex<Reports>,
    loaded: Mutex<Loaded>,
}

impl State {
    fn faults(&self) -> EngineFaults {
        *lock(&self.faults)
    }

    fn count(&self, change: impl FnOnce(&mut EngineStats)) {
        change(&mut lock(&self.stats));
    }
}

/// A running engine; dropping it is a crash.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts at an address.
    pub fn start(address: SocketAddr, spec: EngineSpec) -> Result<Self, ServerError> {
        let state = Arc::new(State {
            faults: Mutex::default(),
            stats: Mutex::default(),
            batch: Arc::new(Mutex::new(Batch::new(spec.slots))),
            cache: Mutex::new(PrefixCache::new(spec.cache_entries)),
            streams: Mutex::default(),
            reports: Mutex::default(),
            loaded: Mutex::new(Loaded::new(&spec)),
            spec,
        });
        let server = Server::start(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// The times in which it loaded a model.
    pub fn load_spans(&self) -> Vec<LoadSpan> {
        lock(&self.state.loaded).spans()
    }

    /// What it has done so far.
    pub fn stats(&self) -> EngineStats {
        let running = lock(&self.state.batch).running();
        EngineStats {
            running,
            ..*lock(&self.state.stats)
        }
    }
}
