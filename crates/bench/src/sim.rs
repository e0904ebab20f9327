//! The simulation of a run: the event loop and the VMs.

use crate::{
    Row, Sharing,
    demand::{Arrival, draw_arrivals},
    endpoints::SimEndpoint,
    engine::EndpointKind,
    events::{Event, EventQueue},
    run::Case,
    scenario::{BURST_END, EndpointFault, LAST_ARRIVAL},
    tally::{Outcome, Tally, rounded},
    world::World,
};
use core::time::Duration;
use poplarswitch_catalog::Catalog;
use poplarswitch_entity::{CallId, EndpointName, Generation, Incarnation, Time};
use poplarswitch_pool::{self as pool, Pool};
use poplarswitch_scheduler::{Dispatch, End, Input, Output, Request};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::{collections::HashMap, sync::Arc};

/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// Shortest time from an event at a VM to the VM's next timer.
const MIN_WAKE_INTERVAL: Duration = Duration::from_micros(100);
/// Time from a crash to the restart of the endpoint.
const CRASH_DURATION: Duration = Duration::from_secs(30);
/// Start of the scenario's fault.
const FAULT_START: Time = Time::from_millis(60_000);
/// Time at which a run ends even if calls are still open.
const RUN_LIMIT: Time = Time::from_millis(900_000);

/// A simulated VM.
#[derive(Debug)]
pub struct Vm {
    /// Pool of the VM.
    pub pool: Pool,
    timer: Option<Time>,
}

/// The state of a run.
#[derive(Debug)]
pub struct Sim<'a> {
    /// The case to run.
    pub case: &'a Case,
    /// The simulated deployment.
    pub world: &'a World,
    /// All calls of the run, in the order of their arrival.
    pub arrivals: &'a [Arrival],
    /// The current virtual time.
    pub now: Time,
    /// The pending events.
    pub queue: EventQueue,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The endpoints.
    pub endpoints: Vec<SimEndpoint>,
    /// Indices of the endpoints by name.
    pub endpoint_index: HashMap<EndpointName, usize>,
    /// Records of the calls.
    pub tally: Tally<'a>,
    /// Random source that selects the cache events that are lost.
    pub rng: Pcg64,
    /// Index of the endpoint that each call was last sent to.
    pub last_endpoint: Vec<usize>,
    /// Number of prompts that engines received.
    pub prompt_count: u64,
    /// Number of those prompts whose prefix was cached.
    pub hit_count: u64,
    /// Number of calls that have not ended, including those that have not arrived.
    pub open_calls: usize,
}

/// Simulates a run and returns its figures.
pub fn run(case: &Case) -> Row {
    let world = World::for_firm(case.scenario.firm());
    let arrivals = draw_arrivals(&world, case.scenario, case.vms, case.seed);
    let mut sim = Sim::new(case, &world, &arrivals);
    sim.init();
    while let Some((at, event)) = sim.queue.pop() {
        if at > RUN_LIMIT || (sim.open_calls == 0 && at > LAST_ARRIVAL) {
            break;
        }
        sim.now = at;
        sim.process(event);
    }
    sim.into_row()
}

impl<'a> Sim<'a> {
    fn new(case: &'a Case, world: &'a World, arrivals: &'a [Arrival]) -> Self {
        let catalog =
            Catalog::build(&world.set, Generation(1)).expect("the simulated set resolves");
        let catalog = Arc::new(catalog);
        let vm = |i: u32| Vm {
            pool: Pool::new(
                vm_id(i as usize),
                Arc::clone(&catalog),
                case.policy,
                case.seed,
            ),
            timer: None,
        };
        let endpoints: Vec<SimEndpoint> =
            world.set.endpoints.iter().map(SimEndpoint::new).collect();
        let indexed = endpoints.iter().enumerate();
        Self {
            case,
            world,
            arrivals,
            now: Time::ZERO,
            queue: EventQueue::default(),
            vms: (0..case.vms).map(vm).collect(),
            endpoint_index: indexed.map(|(i, e)| (e.object.name.clone(), i)).collect(),
            endpoints,
            tally: Tally::new(world, arrivals),
            rng: Pcg64::seed_from_u64(case.seed * 100 + 98),
            last_endpoint: vec![0; arrivals.len()],
            prompt_count: 0,
            hit_count: 0,
            open_calls: arrivals.len(),
        }
    }

    fn init(&mut self) {
        let ids: Vec<Incarnation> = (0..self.vms.len()).map(vm_id).collect();
        for vm in 0..self.vms.len() {
            let members = match self.case.sharing {
                Sharing::Cell => ids.clone(),
                Sharing::Alone => vec![ids[vm]],
            };
            self.handle_input(vm, pool::Input::Members(members));
        }
        for (i, arrival) in self.arrivals.iter().enumerate() {
            self.queue.push(arrival.time, Event::CallArrival(i));
        }
        self.queue.push(Time::ZERO, Event::LoadReports);
        self.queue.push(FAULT_START, Event::FaultStart);
        let end = match self.case.scenario.fault() {
            EndpointFault::Crash => FAULT_START + CRASH_DURATION,
            EndpointFault::SlowEngines | EndpointFault::None => BURST_END,
        };
        self.queue.push(end, Event::FaultEnd);
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::CallArrival(call) => self.submit_call(call),
            Event::VmWake(vm) => self.wake_vm(vm),
            Event::SchedulerInput(vm, input) => self.handle_scheduler_input(vm, input),
            Event::PeerMessage(vm, from, message) => {
                self.handle_input(vm, pool::Input::Peer { from, message });
            }
            Event::Dispatch {
                endpoint,
                call,
                attempt,
                mode,
            } => self.start_call(endpoint, call, attempt, mode),
            Event::Stop {
                endpoint,
                call,
                attempt,
            } => self.stop_call(endpoint, call, attempt),
            Event::EndpointUpdate(endpoint, count) => self.update_endpoint(endpoint, count),
            Event::LoadReports => self.report_loads(),
            Event::FaultStart => self.set_fault(true),
            Event::FaultEnd => self.set_fault(false),
        }
    }

    fn submit_call(&mut self, call: usize) {
        let arrival = &self.arrivals[call];
        let workload = &self.world.workloads[arrival.workload_index];
        let request = Request {
            call: self.call_id(call),
            class: workload.class.clone(),
            workspace: arrival.workspace.clone(),
            route: workload.route.clone(),
            adapter: None,
            prefix: arrival.prefix,
            input_tokens: arrival.input_tokens,
            max_tokens: (workload.output_median * 8.0) as u32,
            data_centre: self.world.data_centres[arrival.vm % 3].clone(),
            waited: Duration::ZERO,
        };
        self.handle_input(arrival.vm, pool::Input::Local(Input::Submit(request)));
    }

    /// Identifier of a call that is given by its index.
    pub fn call_id(&self, call: usize) -> CallId {
        CallId {
            origin: vm_id(self.arrivals[call].vm),
            seq: call as u64,
        }
    }

    fn handle_scheduler_input(&mut self, vm: usize, input: Input) {
        if let Input::Ended(ended) = &input {
            let call = ended.call.seq as usize;
            if matches!(ended.end, End::Answered { .. }) {
                self.tally.records[call]
                    .first_output
                    .get_or_insert(self.now);
                self.close_call(call, Outcome::Answered);
            }
        }
        if let Input::Progress(progress) = &input {
            let record = &mut self.tally.records[progress.call.seq as usize];
            record.first_output.get_or_insert(self.now);
        }
        self.handle_input(vm, pool::Input::Local(input));
    }

    fn close_call(&mut self, call: usize, outcome: Outcome) {
        let record = &mut self.tally.records[call];
        if record.outcome == Outcome::Open {
            record.outcome = outcome;
            record.ended = Some(self.now);
            self.open_calls -= 1;
        }
    }

    fn handle_input(&mut self, vm: usize, input: pool::Input) {
        let mut out = Vec::new();
        self.vms[vm].pool.handle(self.now, input, &mut out);
        self.apply_outputs(vm, out);
    }

    fn wake_vm(&mut self, vm: usize) {
        let now = self.now;
        let state = &mut self.vms[vm];
        if state.timer.is_none_or(|at| at > now) {
            return;
        }
        state.timer = None;
        let mut out = Vec::new();
        if state.pool.next_wake().is_some_and(|at| at <= now) {
            state.pool.tick(now, &mut out);
        }
        self.apply_outputs(vm, out);
    }

    fn apply_outputs(&mut self, vm: usize, out: Vec<pool::Output>) {
        for output in out {
            match output {
                pool::Output::Local(output) => self.apply_scheduler_output(vm, output),
                pool::Output::Send { to, message } => {
                    let receiver = to.0 as usize - 1;
                    let at = self.now + self.delay(vm, receiver);
                    let event = Event::PeerMessage(receiver, vm_id(vm), message);
                    self.queue.push(at, event);
                }
            }
        }
        let Some(next) = self.vms[vm].pool.next_wake() else {
            return;
        };
        let at = next.max(self.now + MIN_WAKE_INTERVAL);
        if self.vms[vm]
            .timer
            .is_none_or(|timer| at < timer || timer <= self.now)
        {
            self.vms[vm].timer = Some(at);
            self.queue.push(at, Event::VmWake(vm));
        }
    }

    fn apply_scheduler_output(&mut self, vm: usize, output: Output) {
        let call = output.call().seq as usize;
        match output {
            Output::Dispatch(dispatch) => self.dispatch_call(vm, call, &dispatch),
            Output::Stop(stop) => {
                let endpoint = self.last_endpoint[call];
                let event = Event::Stop {
                    endpoint,
                    call,
                    attempt: stop.attempt,
                };
                self.queue.push(self.now + self.delay(vm, endpoint), event);
            }
            Output::Refuse(_) => self.close_call(call, Outcome::Refused),
            Output::Conclude(conclusion) => self.close_call(call, conclusion.kind.into()),
        }
    }

    fn dispatch_call(&mut self, vm: usize, call: usize, dispatch: &Dispatch) {
        let endpoint = self.endpoint_index[&dispatch.endpoint];
        let record = &mut self.tally.records[call];
        record.dispatched.get_or_insert(self.now);
        self.last_endpoint[call] = endpoint;
        let event = Event::Dispatch {
            endpoint,
            call,
            attempt: dispatch.attempt,
            mode: dispatch.mode,
        };
        self.queue.push(self.now + self.delay(vm, endpoint), event);
    }

    /// One-way delay between two VMs or endpoints, given by their indices.
    ///
    /// VMs and endpoints are distributed over the three data centres in turn, so the index modulo
    /// 3 gives the data centre.
    pub fn delay(&self, a: usize, b: usize) -> Duration {
        if a % 3 == b % 3 {
            LOCAL_DELAY
        } else {
            self.world.delay
        }
    }

    fn into_row(self) -> Row {
        let seconds = LAST_ARRIVAL.as_secs_f64();
        let classes = self.tally.class_rows(seconds);
        let engines = self
            .endpoints
            .iter()
            .filter(|e| e.engine.kind == EndpointKind::Model);
        let totals = self.tally.totals(engines.count() as f64);
        let sent: u64 = self.vms.iter().map(|vm| vm.pool.counters().sent).sum();
        Row {
            scenario: self.case.scenario,
            vms: self.case.vms,
            sharing: self.case.sharing,
            policy: self.case.policy,
            seed: self.case.seed,
            goodput: rounded(classes.iter().map(|class| class.goodput).sum()),
            classes,
            wasted_percent: rounded(totals.wasted_percent),
            useful_percent: rounded(totals.useful_percent),
            messages_per_call: rounded(sent as f64 / self.arrivals.len() as f64),
            cache_hit_percent: rounded(
                self.hit_count as f64 * 100.0 / self.prompt_count.max(1) as f64,
            ),
        }
    }
}

/// Identifier of a VM that is given by its index.
pub const fn vm_id(vm: usize) -> Incarnation {
    Incarnation(vm as u64 + 1)
}
