//! Simulation of VMs that send orders to engines under one lease.
//!
//! The engines serve as the oracle: each keeps the newest fencing number whose order it carried
//! out, and an order that makes an engine reload is checked against the number of other engines
//! that are ready. Pauses of VMs are limited to the longest assumed pause if engines ignore fencing
//! numbers, and not limited if engines check them.

use crate::{
    cluster_env::{Environment, Event, NodeIndex, PlatformHealth},
    cluster_orders_steps::Step,
    cluster_search::Simulation,
};
use core::time::Duration;
use poplarswitch_entity::{EndpointName, FencingNumber, Incarnation, Time};
use poplarswitch_objects::{Endpoint, Model, ObjectSet, Serves};
use poplarswitch_orders::{
    Core, Input, ModelLoad, Mutation, Observation, Order, OrderOutcome, Output, Settings,
};
use rand::RngExt as _;
use std::{collections::BTreeMap, sync::Arc};

/// Number of VMs.
pub const VM_COUNT: usize = 3;
/// Number of engines.
pub const ENGINE_COUNT: usize = 4;
/// Minimum number of ready engines that the set declares.
const MIN_READY: u32 = 3;
/// Time in which an engine loads a version.
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Maximum delay of an order on its way to the engine; together with `MAX_SEND_DELAY` it stays
/// below `max_call` of the settings.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(2_500);

/// Time after a manual change of an engine in which an order that is based on an earlier
/// observation may make a needed engine reload.
const DRIFT_WINDOW: Duration = Duration::from_mins(2);

/// Maximum time from the decision on an order to its sending, apart from pauses.
const MAX_SEND_DELAY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Engine {
    load: ModelLoad,
    ready_at: Time,
    newest: FencingNumber,
}

#[derive(Clone, Debug)]
enum Action {
    /// The VM sends an order that it has decided on.
    Send(NodeIndex, Incarnation, usize, Order),
    /// An order arrives at its engine.
    Arrive(NodeIndex, Incarnation, usize, Order),
    /// An engine is observed; the observation is sent back to the VM.
    Observe(NodeIndex, Incarnation, usize),
    /// A VM gets an input, unless a new incarnation has replaced it.
    Feed(NodeIndex, Incarnation, Input),
}

/// The VMs, the engines, the environment and the first violation.
#[derive(Debug)]
pub struct OrdersSim {
    env: Environment<()>,
    vms: Vec<(Incarnation, Core)>,
    engines: Vec<Engine>,
    actions: BTreeMap<u64, Action>,
    set: Arc<ObjectSet>,
    version: u8,
    fenced: bool,
    mutation: Option<Mutation>,
    incarnations: u64,
    last_code: u64,
    drift_time: Option<Time>,
    violation: Option<String>,
}

impl OrdersSim {
    /// Starts all VMs, with all engines ready.
    pub fn new(seed: u64, fenced: bool, mutation: Option<Mutation>) -> Self {
        let engine = || Engine {
            load: load(0),
            ready_at: Time::ZERO,
            newest: FencingNumber(0),
        };
        let mut sim = Self {
            env: Environment::new(seed),
            vms: Vec::new(),
            engines: (0..ENGINE_COUNT).map(|_| engine()).collect(),
            actions: BTreeMap::new(),
            set: Arc::new(set(0, fenced)),
            version: 0,
            fenced,
            mutation,
            incarnations: 0,
            last_code: 0,
            drift_time: None,
            violation: None,
        };
        for node in 0..VM_COUNT {
            let vm = sim.new_vm();
            sim.vms.push(vm);
            sim.feed_set(node);
        }
        sim
    }

    fn new_vm(&mut self) -> (Incarnation, Core) {
        self.incarnations += 1;
        let me = Incarnation(self.incarnations);
        let mut core = Core::new(me, Settings::builder().build(), self.incarnations);
        if let Some(mutation) = self.mutation {
            core.mutate(mutation);
        }
        (me, core)
    }

    fn feed_set(&mut self, node: NodeIndex) {
        let set = Arc::clone(&self.set);
        self.feed(node, Input::Set(set));
    }

    fn feed(&mut self, node: NodeIndex, input: Input) {
        let mut out = Vec::new();
        self.vms[node].1.handle(self.env.now, input, &mut out);
        self.apply_outputs(node, out);
    }

    fn apply_outputs(&mut self, node: NodeIndex, out: Vec<Output>) {
        let incarnation = self.vms[node].0;
        for output in out {
            match output {
                Output::Request { id, request } => self.env.request(node, id, request),
                Output::Observe(endpoint) => {
                    let wait = self
                        .env
                        .random_duration(Duration::ZERO, Duration::from_millis(300));
                    let action = Action::Observe(node, incarnation, index(&endpoint));
                    self.schedule(usize::MAX, wait, action);
                }
                Output::Order { endpoint, order } => {
                    let wait = self.env.random_duration(Duration::ZERO, MAX_SEND_DELAY);
                    let action = Action::Send(node, incarnation, index(&endpoint), order);
                    self.schedule(node, wait, action);
                }
                Output::Lease(_) => {}
            }
        }
        let now = self.env.now;
        let wake = self.vms[node].1.next_wake(now);
        self.env.schedule_wake(node, wake);
    }

    fn schedule(&mut self, node: NodeIndex, wait: Duration, action: Action) {
        self.last_code += 1;
        self.actions.insert(self.last_code, action);
        let (at, code) = (self.env.now + wait, self.last_code);
        self.env.push(at, Event::Custom { node, code });
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(node, incarnation, engine, order) => {
                let wait = self.env.random_duration(Duration::ZERO, MAX_ORDER_DELAY);
                let action = Action::Arrive(node, incarnation, engine, order);
                self.schedule(usize::MAX, wait, action);
            }
            Action::Arrive(node, incarnation, engine, order) => {
                let outcome = match self.env.rng.random_range(0..10) {
                    0 => OrderOutcome::NotTaken,
                    1 => {
                        self.apply_order(engine, &order);
                        OrderOutcome::Unknown
                    }
                    2 => OrderOutcome::Unknown,
                    _ => self.apply_order(engine, &order),
                };
                let endpoint = name(engine);
                let input = Input::OrderEnded { endpoint, outcome };
                self.schedule(
                    node,
                    Duration::from_millis(5),
                    Action::Feed(node, incarnation, input),
                );
            }
            Action::Observe(node, incarnation, engine) => {
                let lost = self.env.rng.random_range(0..20) == 0;
                let observation = (!lost).then(|| self.observation(engine));
                let input = Input::Observed {
                    endpoint: name(engine),
                    observation,
                };
                let wait = self
                    .env
                    .random_duration(Duration::ZERO, Duration::from_millis(300));
                self.schedule(node, wait, Action::Feed(node, incarnation, input));
            }
            Action::Feed(node, incarnation, input) => {
                if self.vms[node].0 == incarnation {
                    self.feed(node, input);
                }
            }
        }
    }

    fn observation(&self, engine: usize) -> Observation {
        let engine = &self.engines[engine];
        Observation {
            load: Some(engine.load.clone()),
            ready: self.env.now >= engine.ready_at,
            fencing: self.fenced.then_some(engine.newest),
        }
    }

    /// Checks an order that arrives at an engine, and applies it.
    fn apply_order(&mut self, index: usize, order: &Order) -> OrderOutcome {
        let now = self.env.now;
        let newest = self.engines[index].newest;
        if order.fencing < newest {
            if self.fenced {
                return OrderOutcome::Fenced { newest };
            }
            self.violation = Some(format!(
                "order {order:?} arrived after fencing number {newest} at {now:?}"
            ));
        }
        let others = self.engines.iter().enumerate();
        let others = others.filter(|(other, engine)| *other != index && now >= engine.ready_at);
        let enough_ready = others.count() as u32 >= MIN_READY;
        let engine = &mut self.engines[index];
        engine.newest = order.fencing.max(newest);
        if engine.load != order.load {
            let after_drift = self
                .drift_time
                .is_some_and(|at| now.since(at) < DRIFT_WINDOW);
            if now >= engine.ready_at && !enough_ready && !after_drift {
                self.violation = Some(format!(
                    "order {order:?} made a needed engine reload at {now:?}"
                ));
            }
            engine.load = order.load.clone();
            engine.ready_at = now + LOAD_TIME;
        }
        OrderOutcome::Taken
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.env.now + time;
        while let Some(event) = self.env.next_event(until) {
            match event {
                Event::Reply { node, id, reply } => self.feed(node, Input::Reply { id, reply }),
                Event::Wake(node) => {
                    let mut out = Vec::new();
                    self.vms[node].1.tick(self.env.now, &mut out);
                    self.apply_outputs(node, out);
                }
                Event::Custom { code, .. } => {
                    if let Some(action) = self.actions.remove(&code) {
                        self.perform(action);
                    }
                }
                Event::Deliver { .. } | Event::Request { .. } => {}
            }
            if let Some(violation) = &self.violation {
                return Err(violation.clone());
            }
        }
        Ok(())
    }

    fn activate_set(&mut self, version: u8) {
        self.set = Arc::new(set(version, self.fenced));
        self.version = version;
        for node in 0..VM_COUNT {
            self.feed_set(node);
        }
    }

    fn pause_holder(
        &mut self,
        [wait, work]: [Duration; 2],
        version: u8,
        pause_s: u64,
    ) -> Result<(), String> {
        let now = self.env.now;
        let holder = self
            .vms
            .iter()
            .position(|(_, core)| core.fencing(now).is_some());
        let Some(holder) = holder else { return Ok(()) };
        self.env.isolated = [holder].into();
        self.run(wait)?;
        self.activate_set(version);
        self.run(work)?;
        self.pause(holder, pause_s);
        Ok(())
    }

    fn pause(&mut self, node: NodeIndex, seconds: u64) {
        let bound = Settings::builder().build().max_pause.as_secs();
        let seconds = if self.fenced {
            seconds
        } else {
            seconds.min(bound)
        };
        if !self.env.is_paused(node) {
            let until = self.env.now + Duration::from_secs(seconds);
            self.env.pause(node, until);
        }
    }
}

impl Simulation<Step> for OrdersSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Set { version } => self.activate_set(version),
            Step::Run { millis } => self.run(Duration::from_millis(millis))?,
            Step::Pause { node, seconds } => self.pause(node, seconds),
            Step::Replace(node) => {
                self.env.reset_node(node);
                self.vms[node] = self.new_vm();
                self.feed_set(node);
            }
            Step::Leave(node) => self.feed(node, Input::Leave),
            Step::PauseHolder {
                wait_ms,
                version,
                work_ms,
                pause_s,
            } => self.pause_holder(
                [wait_ms, work_ms].map(Duration::from_millis),
                version,
                pause_s,
            )?,
            Step::Isolate(node) => self.env.isolated = node.into_iter().collect(),
            Step::SetHealth(health) => self.env.set_health(match health {
                0 => PlatformHealth::Up,
                1 => PlatformHealth::Slow,
                2 => PlatformHealth::Down,
                _ => PlatformHealth::Lossy,
            }),
            Step::Drift(engine) => {
                self.engines[engine].load = load(9);
                self.drift_time = Some(self.env.now);
            }
        }
        Ok(())
    }

    /// Ends all faults, replaces the first VM by a new incarnation, and checks that all engines
    /// serve the set after a while.
    fn settle(&mut self) -> Result<(), String> {
        self.env.set_health(PlatformHealth::Up);
        self.env.isolated.clear();
        self.env.reset_node(0);
        self.vms[0] = self.new_vm();
        self.feed_set(0);
        self.run(Duration::from_mins(8))?;
        let wanted = load(self.version);
        let wrong = self.engines.iter().find(|engine| engine.load != wanted);
        wrong.map_or(Ok(()), |wrong| {
            let status = self.vms[0].1.status(self.env.now);
            Err(format!(
                "engine does not serve the set: {wrong:?}, {status:?}"
            ))
        })
    }
}

fn name(engine: usize) -> EndpointName {
    EndpointName::new(format!("engine-{engine}"))
}

fn index(name: &EndpointName) -> usize {
    let digits = name.as_str().trim_start_matches("engine-");
    digits.parse().unwrap_or_default()
}

fn load(version: u8) -> ModelLoad {
    ModelLoad {
        model: "m".into(),
        version: version.to_string().as_str().into(),
        adapters: Vec::new(),
    }
}

fn set(version: u8, fenced: bool) -> ObjectSet {
    let model = Model::builder()
        .name("m")
        .versions(vec![load(version).version])
        .default_class("c")
        .weight_mb(500)
        .min_ready(MIN_READY)
        .build();
    let endpoints = (0..ENGINE_COUNT).map(|engine| {
        Endpoint::builder()
            .name(name(engine))
            .address(([127, 0, 0, 1], 9).into())
            .data_centre("a")
            .serves(Serves::Model {
                model: "m".into(),
                version: load(version).version,
                adapters: Vec::new(),
            })
            .slots(1)
            .fenced(fenced)
            .build()
    });
    ObjectSet {
        endpoints: endpoints.collect(),
        models: vec![model],
        ..ObjectSet::default()
    }
}
