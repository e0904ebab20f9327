//! The endpoints of a run and what they tell the VMs.

use crate::{
    cache::Cache,
    demand::kind_of,
    engine::{Engine, Kind, Sequence},
    events::Event,
    scenario::Trouble,
    sim::{Sim, id},
};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{Attempt, PrefixHash};
use poplarswitch_objects::{Endpoint, Serves};
use poplarswitch_scheduler::{CacheEvent, End, Ended, Fault, Input, LoadReport, Mode, Progress};
use rand::RngExt;

/// Delay of a cache event.
const CACHE_LAG: Duration = Duration::from_secs(2);
/// Share of cache events that arrive.
const CACHE_KEPT: f64 = 0.8;
/// Shortest time between two reports of one call's progress.
const PROGRESS_EVERY: Duration = Duration::from_millis(250);
/// Speed of a straggler.
const STRAGGLE_SPEED: f64 = 0.2;
/// Endpoints that straggle.
const STRAGGLERS: [usize; 2] = [1, 4];
/// The engine that crashes.
const CRASHED: usize = 2;
/// Time between two publications of load.
const PUBLISH_EVERY: Duration = Duration::from_secs(1);

/// An endpoint and what surrounds it.
#[derive(Debug)]
pub struct Site {
    /// The model of its work.
    pub engine: Engine,
    /// Its prefix cache.
    pub cache: Cache,
    /// Its object.
    pub endpoint: Endpoint,
}

impl Site {
    /// Starts idle.
    pub fn new(endpoint: &Endpoint) -> Self {
        let kind = match endpoint.serves {
            Serves::Model { .. } => Kind::Model,
            Serves::Service { .. } => Kind::Service,
        };
        Self {
            engine: Engine::new(kind, endpoint.slots),
            cache: Cache::default(),
            endpoint: endpoint.clone(),
        }
    }

    fn route(&self) -> Route {
        match &self.endpoint.serves {
            Serves::Model { model, .. } => Route::Model(model.clone()),
            Serves::Service { service } => Route::Service(service.clone()),
        }
    }
}

impl Sim<'_> {
    /// A call reaches an endpoint.
    pub fn start(&mut self, endpoint: usize, call: usize, attempt: Attempt, mode: Mode) {
        if !self.sites[endpoint].engine.up {
            let end = End::Failed {
                fault: Fault::Unreached,
                emitted: 0,
            };
            self.tell_end(endpoint, call, attempt, end);
            return;
        }
        let arrival = &self.arrivals[call];
        let emitted = match mode {
            Mode::Fresh => 0,
            Mode::Resume { emitted } => emitted,
        };
        let prefill = self.read_prompt(endpoint, call, emitted);
        self.tally.records[call].prefill += prefill;
        let sequence = Sequence {
            call,
            attempt,
            prefill,
            left: f64::from(arrival.length.saturating_sub(emitted).max(1)),
            done: 0.0,
            emitted,
            told: None,
        };
        self.sites[endpoint].engine.start(self.now, sequence);
        self.plan(endpoint);
    }

    /// Seconds that the prompt takes, less what the cache holds.
    fn read_prompt(&mut self, endpoint: usize, call: usize, emitted: u32) -> f64 {
        let arrival = &self.arrivals[call];
        let work = &self.world.workloads[arrival.class];
        let kind = kind_of(work);
        if kind == Kind::Service {
            return 0.0;
        }
        let used = self.sites[endpoint].cache.touch(arrival.prefix);
        self.prompts += 1;
        self.hits += u64::from(used.hit);
        if !used.hit {
            self.tell_cache(endpoint, arrival.prefix, true);
        }
        if let Some(evicted) = used.evicted {
            self.tell_cache(endpoint, evicted, false);
        }
        let shared = if used.hit { work.shared } else { 0.0 };
        let tokens = f64::from(arrival.input) * (1.0 - shared) + f64::from(emitted);
        Engine::prefill_time(kind, tokens)
    }

    fn tell_cache(&mut self, site: usize, prefix: PrefixHash, held: bool) {
        if self.rng.random_range(0.0..1.0) >= CACHE_KEPT {
            return;
        }
        let event = CacheEvent {
            endpoint: self.sites[site].endpoint.name.clone(),
            prefix,
            held,
        };
        self.tell_homes(site, CACHE_LAG, &Input::Cache(event));
    }

    /// Tells the home of an endpoint's route; without sharing every VM is one.
    fn tell_homes(&mut self, site: usize, after: Duration, input: &Input) {
        let route = self.sites[site].route();
        for vm in 0..self.vms.len() {
            if self.vms[vm].pool.home_of(&route) == id(vm) {
                let event = Event::Hear(vm, input.clone());
                self.agenda.add(self.now + after, event);
            }
        }
    }

    /// A stop reaches an endpoint.
    pub fn halt(&mut self, endpoint: usize, call: usize, attempt: Attempt) {
        let site = &mut self.sites[endpoint];
        let Some(sequence) = site.engine.stop(self.now, call, attempt) else {
            return;
        };
        self.tally.records[call].generated += sequence.done;
        let emitted = sequence.emitted + sequence.done as u32;
        self.tell_end(endpoint, call, attempt, End::Stopped { emitted });
        self.plan(endpoint);
    }

    /// An endpoint shows what it has finished.
    pub fn look(&mut self, site: usize, version: u64) {
        if self.sites[site].engine.version != version {
            return;
        }
        let finished = self.sites[site].engine.finish(self.now);
        for sequence in finished {
            self.tally.records[sequence.call].generated += sequence.done;
            let tokens = match self.sites[site].engine.kind {
                Kind::Model => sequence.emitted + sequence.done.round() as u32,
                Kind::Service => 0,
            };
            let end = End::Answered { tokens };
            self.tell_end(site, sequence.call, sequence.attempt, end);
        }
        self.tell_progress(site);
        self.plan(site);
    }

    fn tell_progress(&mut self, site: usize) {
        let now = self.now;
        let mut told = Vec::new();
        if self.sites[site].engine.kind == Kind::Service {
            return;
        }
        for s in &mut self.sites[site].engine.batch {
            let recent = s.told.is_some_and(|at| now < at + PROGRESS_EVERY);
            if s.done >= 1.0 && !recent {
                s.told = Some(now);
                told.push((s.call, s.attempt, s.emitted + s.done as u32));
            }
        }
        for (call, attempt, tokens) in told {
            let progress = Progress {
                call: self.call_id(call),
                attempt,
                tokens,
            };
            self.tell(site, call, Input::Progress(progress));
        }
    }

    fn tell_end(&mut self, site: usize, call: usize, attempt: Attempt, end: End) {
        let ended = Ended {
            call: self.call_id(call),
            attempt,
            end,
        };
        self.tell(site, call, Input::Ended(ended));
    }

    fn tell(&mut self, site: usize, call: usize, input: Input) {
        let vm = self.arrivals[call].vm;
        let at = self.now + self.delay(vm, site);
        self.agenda.add(at, Event::Hear(vm, input));
    }

    fn plan(&mut self, site: usize) {
        let engine = &self.sites[site].engine;
        if let Some(at) = engine.next_event() {
            let version = engine.version;
            self.agenda.add(at, Event::Look(site, version));
        }
    }

    /// All endpoints publish their load.
    pub fn publish(&mut self) {
        let lag = self.case.scenario.lag();
        for site in 0..self.sites.len() {
            let Site {
                engine, endpoint, ..
            } = &self.sites[site];
            if engine.up {
                let report = LoadReport {
                    endpoint: endpoint.name.clone(),
                    running: engine.batch.len() as u32,
                    queued: engine.queue.len() as u32,
                    age: lag,
                };
                self.tell_homes(site, lag, &Input::Load(report));
            }
        }
        self.agenda.add(self.now + PUBLISH_EVERY, Event::Publish);
    }

    /// The trouble of the scenario begins or ends.
    pub fn trouble(&mut self, begins: bool) {
        match self.case.scenario.trouble() {
            Trouble::None => {}
            Trouble::Straggle => {
                let speed = if begins { STRAGGLE_SPEED } else { 1.0 };
                for site in STRAGGLERS {
                    self.sites[site].engine.set_speed(self.now, speed);
                    self.plan(site);
                }
            }
            Trouble::Crash => {
                for site in [CRASHED, self.sites.len() - 1] {
                    self.crash(site, begins);
                }
            }
        }
    }

    fn crash(&mut self, site: usize, begins: bool) {
        if !begins {
            self.sites[site].engine.up = true;
            return;
        }
        self.sites[site].cache.clear();
        for sequence in self.sites[site].engine.crash(self.now) {
            self.tally.records[sequence.call].generated += sequence.done;
            let end = End::Failed {
                fault: Fault::Lost,
                emitted: sequence.emitted + sequence.done as u32,
            };
            self.tell_end(site, sequence.call, sequence.attempt, end);
        }
    }
}
