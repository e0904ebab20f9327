//! A model engine with continuous batching, priorities, streams and a prefix cache.
//!
//! The time between tokens increases with the number of calls in the batch, prompts that are not
//! cached take time for the prefill, and calls beyond the slots wait in the order of their
//! priority. Load reports can lag, and cache events arrive when they are polled and can be lost;
//! VMs must expect the same of real engines.

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
use orders::LoadedModel;
use reports::LoadHistory;
use std::sync::{Arc, Mutex};
use stream::StreamTable;

/// Properties of an engine: its first model, its capacity and its timing.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Name of the model that the engine serves at first.
    pub model: String,
    /// Version of that model.
    pub version: String,
    /// Largest number of calls in the batch.
    pub slots: u32,
    /// Time between two tokens of a call that is alone in the batch.
    pub token_time: Duration,
    /// Time that each other call in the batch adds between two tokens.
    pub batch_cost: Duration,
    /// Time of the prefill for each token of a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    /// Number of prefixes that the cache holds.
    pub cache_entries: usize,
    /// Whether the engine checks fencing numbers and refuses orders with old ones.
    pub fenced: bool,
    /// Time that a load of a model takes.
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

/// Faults that are injected into an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Increase of the time between tokens, in percent.
    pub slow_percent: u32,
    /// Smallest age of a load report.
    pub report_lag: Duration,
    /// Share of cache events that are lost, in percent.
    pub loss_percent: u8,
    /// Declines each call without running it, and says so in the response.
    pub decline: bool,
    /// Cuts the connection of each answer at this number of tokens, counted from the start of the
    /// answer.
    pub cut_after: Option<u32>,
    /// Stalls each answer at this number of tokens, and leaves the connection open.
    pub stall_after: Option<u32>,
}

/// Counts of the calls and orders of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineStats {
    /// Number of calls that entered the batch.
    pub started: u64,
    /// Number of calls whose whole answer was generated.
    pub finished: u64,
    /// Number of calls that ended before their whole answer was generated.
    pub stopped: u64,
    /// Number of started calls that resumed a stream.
    pub resumed: u64,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Number of prompts whose prefix was cached.
    pub cache_hits: u64,
    /// Number of orders that took effect.
    pub orders: u64,
    /// Number of orders that were refused because of an old fencing number.
    pub fenced_orders: u64,
    /// Number of calls in the batch at present.
    pub running: u32,
}

#[derive(Debug)]
struct State {
    spec: EngineSpec,
    faults: Mutex<EngineFaults>,
    stats: Mutex<EngineStats>,
    batch: Arc<Mutex<Batch>>,
    cache: Mutex<PrefixCache>,
    streams: Mutex<StreamTable>,
    load_history: Mutex<LoadHistory>,
    loaded_model: Mutex<LoadedModel>,
}

impl State {
    fn faults(&self) -> EngineFaults {
        *lock(&self.faults)
    }

    fn update_stats(&self, change: impl FnOnce(&mut EngineStats)) {
        change(&mut lock(&self.stats));
    }
}

/// A running engine; dropping it closes its listener and all connections at once, as a crash does.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine that listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't listen on the address.
    pub fn start(address: SocketAddr, spec: EngineSpec) -> Result<Self, ServerError> {
        let state = Arc::new(State {
            faults: Mutex::default(),
            stats: Mutex::default(),
            batch: Arc::new(Mutex::new(Batch::new(spec.slots))),
            cache: Mutex::new(PrefixCache::new(spec.cache_entries)),
            streams: Mutex::default(),
            load_history: Mutex::default(),
            loaded_model: Mutex::new(LoadedModel::new(&spec)),
            spec,
        });
        let server = Server::start(address, Arc::clone(&state))?;
        Ok(Self { server, state })
    }

    /// Address on which the engine listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the injected faults, also for calls that are running.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Periods in which the engine loaded a model.
    pub fn load_spans(&self) -> Vec<LoadSpan> {
        lock(&self.state.loaded_model).load_spans()
    }

    /// Counts of the calls and orders so far.
    pub fn stats(&self) -> EngineStats {
        let running = lock(&self.state.batch).running();
        EngineStats {
            running,
            ..*lock(&self.state.stats)
        }
    }
}
