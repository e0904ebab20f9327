//! The simulated endpoints of a run, and the reports that they send to the VMs.

use crate::{
    cache::PrefixCache,
    demand::endpoint_kind,
    engine::{EndpointKind, Engine, Sequence},
    events::Event,
    scenario::EndpointFault,
    sim::{Sim, vm_id},
};
use core::time::Duration;
use poplarswitch_catalog::Route;
use poplarswitch_entity::{Attempt, PrefixHash};
use poplarswitch_objects::{Endpoint, Serves};
use poplarswitch_scheduler::{CacheEvent, End, Ended, Fault, Input, LoadReport, Mode, Progress};
use rand::RngExt;

/// Delay of each cache event.
const CACHE_EVENT_LAG: Duration = Duration::from_secs(2);
/// Share of cache events that arrive; the others are lost.
const CACHE_EVENT_DELIVERY: f64 = 0.8;
/// Shortest time between two progress reports of a call.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Factor on the speed of a slow engine.
const SLOW_SPEED: f64 = 0.2;
/// Indices of the engines that become slow in the `SlowEngines` fault.
const SLOW_ENGINES: [usize; 2] = [1, 4];
/// Index of the engine that crashes in the `Crash` fault.
const CRASHED_ENGINE: usize = 2;
/// Time between two load reports of an endpoint.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// A simulated endpoint.
#[derive(Debug)]
pub struct SimEndpoint {
    /// Batch and queue of the endpoint.
    pub engine: Engine,
    /// Prefix cache of the endpoint.
    pub cache: PrefixCache,
    /// Declared object of the endpoint.
    pub object: Endpoint,
}

impl SimEndpoint {
    /// Creates an endpoint without calls and with an empty cache.
    pub fn new(endpoint: &Endpoint) -> Self {
        let kind = match endpoint.serves {
            Serves::Model { .. } => EndpointKind::Model,
            Serves::Service { .. } => EndpointKind::Service,
        };
        Self {
            engine: Engine::new(kind, endpoint.slots),
            cache: PrefixCache::default(),
            object: endpoint.clone(),
        }
    }

    fn route(&self) -> Route {
        match &self.object.serves {
            Serves::Model { model, .. } => Route::Model(model.clone()),
            Serves::Service { service } => Route::Service(service.clone()),
        }
    }
}

impl Sim<'_> {
    /// Handles a call that reaches an endpoint.
    pub fn start_call(&mut self, endpoint: usize, call: usize, attempt: Attempt, mode: Mode) {
        if !self.endpoints[endpoint].engine.up {
            let end = End::Failed {
                fault: Fault::Unreached,
                emitted: 0,
            };
            self.report_end(endpoint, call, attempt, end);
            return;
        }
        let arrival = &self.arrivals[call];
        let emitted = match mode {
            Mode::Fresh => 0,
            Mode::Resume { emitted } => emitted,
        };
        let prefill = self.prefill_time(endpoint, call, emitted);
        self.tally.records[call].prefill += prefill;
        let sequence = Sequence {
            call,
            attempt,
            prefill,
            tokens_left: f64::from(arrival.output_len.saturating_sub(emitted).max(1)),
            generated: 0.0,
            emitted,
            last_report: None,
        };
        self.endpoints[endpoint].engine.enqueue(self.now, sequence);
        self.schedule_update(endpoint);
    }

    /// Time of the prefill of a call at an endpoint, in seconds. Updates the prefix cache and sends
    /// its events.
    ///
    /// The cached part of the prompt takes no time. A resumed call also prefills the tokens that
    /// earlier dispatches emitted.
    fn prefill_time(&mut self, endpoint: usize, call: usize, emitted: u32) -> f64 {
        let arrival = &self.arrivals[call];
        let workload = &self.world.workloads[arrival.workload_index];
        let kind = endpoint_kind(workload);
        if kind == EndpointKind::Service {
            return 0.0;
        }
        let access = self.endpoints[endpoint].cache.access(arrival.prefix);
        self.prompt_count += 1;
        self.hit_count += u64::from(access.hit);
        if !access.hit {
            self.report_cache_change(endpoint, arrival.prefix, true);
        }
        if let Some(evicted) = access.evicted {
            self.report_cache_change(endpoint, evicted, false);
        }
        let shared = if access.hit {
            workload.prefix_share
        } else {
            0.0
        };
        let tokens = f64::from(arrival.input_tokens) * (1.0 - shared) + f64::from(emitted);
        Engine::prefill_time(kind, tokens)
    }

    fn report_cache_change(&mut self, endpoint: usize, prefix: PrefixHash, held: bool) {
        if self.rng.random_range(0.0..1.0) >= CACHE_EVENT_DELIVERY {
            return;
        }
        let event = CacheEvent {
            endpoint: self.endpoints[endpoint].object.name.clone(),
            prefix,
            held,
        };
        self.send_to_homes(endpoint, CACHE_EVENT_LAG, &Input::Cache(event));
    }

    /// Sends an input to the home VM of the endpoint's route. If VMs don't share schedulers, each
    /// VM is the home of its own calls, and the input goes to all of them.
    fn send_to_homes(&mut self, endpoint: usize, after: Duration, input: &Input) {
        let route = self.endpoints[endpoint].route();
        for vm in 0..self.vms.len() {
            if self.vms[vm].pool.home_of(&route) == vm_id(vm) {
                let event = Event::SchedulerInput(vm, input.clone());
                self.queue.push(self.now + after, event);
            }
        }
    }

    /// Handles an instruction to stop a dispatch; has no effect if the dispatch has already ended.
    pub fn stop_call(&mut self, endpoint: usize, call: usize, attempt: Attempt) {
        let target = &mut self.endpoints[endpoint];
        let Some(sequence) = target.engine.remove(self.now, call, attempt) else {
            return;
        };
        self.tally.records[call].generated += sequence.generated;
        let emitted = sequence.emitted + sequence.generated as u32;
        self.report_end(endpoint, call, attempt, End::Stopped { emitted });
        self.schedule_update(endpoint);
    }

    /// Updates an endpoint, and reports the calls that it has finished and the progress of the
    /// others. Has no effect if the endpoint has changed since the update was scheduled.
    pub fn update_endpoint(&mut self, endpoint: usize, change_count: u64) {
        if self.endpoints[endpoint].engine.change_count != change_count {
            return;
        }
        let finished = self.endpoints[endpoint].engine.take_finished(self.now);
        for sequence in finished {
            self.tally.records[sequence.call].generated += sequence.generated;
            let tokens = match self.endpoints[endpoint].engine.kind {
                EndpointKind::Model => sequence.emitted + sequence.generated.round() as u32,
                EndpointKind::Service => 0,
            };
            let end = End::Answered { tokens };
            self.report_end(endpoint, sequence.call, sequence.attempt, end);
        }
        self.report_progress(endpoint);
        self.schedule_update(endpoint);
    }

    fn report_progress(&mut self, endpoint: usize) {
        let now = self.now;
        let mut due = Vec::new();
        if self.endpoints[endpoint].engine.kind == EndpointKind::Service {
            return;
        }
        for s in &mut self.endpoints[endpoint].engine.batch {
            let recent = s.last_report.is_some_and(|at| now < at + PROGRESS_INTERVAL);
            if s.generated >= 1.0 && !recent {
                s.last_report = Some(now);
                due.push((s.call, s.attempt, s.emitted + s.generated as u32));
            }
        }
        for (call, attempt, tokens) in due {
            let progress = Progress {
                call: self.call_id(call),
                attempt,
                tokens,
            };
            self.send_to_origin(endpoint, call, Input::Progress(progress));
        }
    }

    fn report_end(&mut self, endpoint: usize, call: usize, attempt: Attempt, end: End) {
        let ended = Ended {
            call: self.call_id(call),
            attempt,
            end,
        };
        self.send_to_origin(endpoint, call, Input::Ended(ended));
    }

    fn send_to_origin(&mut self, endpoint: usize, call: usize, input: Input) {
        let vm = self.arrivals[call].vm;
        let at = self.now + self.delay(vm, endpoint);
        self.queue.push(at, Event::SchedulerInput(vm, input));
    }

    fn schedule_update(&mut self, endpoint: usize) {
        let engine = &self.endpoints[endpoint].engine;
        if let Some(at) = engine.next_update() {
            let change_count = engine.change_count;
            self.queue
                .push(at, Event::EndpointUpdate(endpoint, change_count));
        }
    }

    /// Sends a load report from each endpoint that is up, and schedules the next ones.
    pub fn report_loads(&mut self) {
        let lag = self.case.scenario.load_lag();
        for endpoint in 0..self.endpoints.len() {
            let SimEndpoint { engine, object, .. } = &self.endpoints[endpoint];
            if engine.up {
                let report = LoadReport {
                    endpoint: object.name.clone(),
                    running: engine.batch.len() as u32,
                    queued: engine.queue.len() as u32,
                    age: lag,
                };
                self.send_to_homes(endpoint, lag, &Input::Load(report));
            }
        }
        self.queue
            .push(self.now + LOAD_INTERVAL, Event::LoadReports);
    }

    /// Starts or ends the fault of the scenario.
    pub fn set_fault(&mut self, active: bool) {
        match self.case.scenario.fault() {
            EndpointFault::None => {}
            EndpointFault::SlowEngines => {
                let speed = if active { SLOW_SPEED } else { 1.0 };
                for endpoint in SLOW_ENGINES {
                    self.endpoints[endpoint].engine.set_speed(self.now, speed);
                    self.schedule_update(endpoint);
                }
            }
            EndpointFault::Crash => {
                for endpoint in [CRASHED_ENGINE, self.endpoints.len() - 1] {
                    self.set_crashed(endpoint, active);
                }
            }
        }
    }

    fn set_crashed(&mut self, endpoint: usize, crashed: bool) {
        if !crashed {
            self.endpoints[endpoint].engine.up = true;
            return;
        }
        self.endpoints[endpoint].cache.clear();
        for sequence in self.endpoints[endpoint].engine.crash(self.now) {
            self.tally.records[sequence.call].generated += sequence.generated;
            let end = End::Failed {
                fault: Fault::Lost,
                emitted: sequence.emitted + sequence.generated as u32,
            };
            self.report_end(endpoint, sequence.call, sequence.attempt, end);
        }
    }
}
