//! A world of VMs that give orders to engines under one lease.
//!
//! The oracle is the engines: each knows the numbers of the orders that it carried out, and all
//! together know how many were ready when one was taken down. Pauses stay within the assumed
//! bound where engines ignore fencing numbers, and have none where engines check them.

use crate::{
    cluster_net::{Event, Health, Net, Place},
    cluster_orders_steps::Step,
    cluster_run::World,
};
use core::time::Duration;
use poplarswitch_entity::{EndpointName, FencingNumber, Incarnation, Time};
use poplarswitch_objects::{Endpoint, Model, ObjectSet, Serves};
use poplarswitch_orders::{
    Core, Input, ModelLoad, Mutation, Observation, Order, OrderOutcome, Output, Settings,
};
use rand::RngExt as _;
use std::{collections::BTreeMap, sync::Arc};

/// VMs of the world.
pub const VMS: usize = 3;
/// Engines of the world.
pub const ENGINES: usize = 4;
const MIN_READY: u32 = 3;
const LOAD_TIME: Duration = Duration::from_secs(2);
/// Longest way of an order to its engine, within the longest call of the settings.
const ORDER_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which an engine that was changed by hand may be ordered back on an old reading.
const DRIFT_BLUR: Duration = Duration::from_mins(2);

/// Longest time from a decision to its sending, without a pause.
const SEND_DELAY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Engine {
    load: ModelLoad,
    ready_at: Time,
    newest: FencingNumber,
}

#[derive(Clone, Debug)]
enum Todo {
    /// The VM gets to sending an order that it decided on.
    Send(Place, Incarnation, usize, Order),
    /// An order reaches its engine.
    Arrive(Place, Incarnation, usize, Order),
    /// An engine answers what it serves.
    Observe(Place, Incarnation, usize),
    /// Something comes back to a VM.
    Tell(Place, Incarnation, Input),
}

/// The world and its record.
#[derive(Debug)]
pub struct OrdersWorld {
    net: Net<()>,
    vms: Vec<(Incarnation, Core)>,
    engines: Vec<Engine>,
    todo: BTreeMap<u64, Todo>,
    set: Arc<ObjectSet>,
    version: u8,
    fenced: bool,
    mutation: Option<Mutation>,
    lives: u64,
    codes: u64,
    drifted: Option<Time>,
    fault: Option<String>,
}

impl OrdersWorld {
    /// Starts with all engines ready.
    pub fn new(seed: u64, fenced: bool, mutation: Option<Mutation>) -> Self {
        let engine = || Engine {
            load: load(0),
            ready_at: Time::ZERO,
            newest: FencingNumber(0),
        };
        let mut world = Self {
            net: Net::new(seed),
            vms: Vec::new(),
            engines: (0..ENGINES).map(|_| engine()).collect(),
            todo: BTreeMap::new(),
            set: Arc::new(set(0, fenced)),
            version: 0,
            fenced,
            mutation,
            lives: 0,
            codes: 0,
            drifted: None,
            fault: None,
        };
        for place in 0..VMS {
            let vm = world.fresh();
            world.vms.push(vm);
            world.start(place);
        }
        world
    }

    fn fresh(&mut self) -> (Incarnation, Core) {
        self.lives += 1;
        let me = Incarnation(self.lives);
        let mut core = Core::new(me, Settings::builder().build(), self.lives);
        if let Some(mutation) = self.mutation {
            core.mutate(mutation);
        }
        (me, core)
    }

    fn start(&mut self, place: Place) {
        let set = Arc::clone(&self.set);
        self.feed(place, Input::Set(set));
    }

    fn feed(&mut self, place: Place, input: Input) {
        let mut out = Vec::new();
        self.vms[place].1.handle(self.net.now, input, &mut out);
        self.carry(place, out);
    }

    fn carry(&mut self, place: Place, out: Vec<Output>) {
        let life = self.vms[place].0;
        for output in out {
            match output {
                Output::Request { id, request } => self.net.request(place, id, request),
                Output::Observe(endpoint) => {
                    let wait = self.net.between(Duration::ZERO, Duration::from_millis(300));
                    let todo = Todo::Observe(place, life, index(&endpoint));
                    self.later(usize::MAX, wait, todo);
                }
                Output::Order { endpoint, order } => {
                    let wait = self.net.between(Duration::ZERO, SEND_DELAY);
                    let todo = Todo::Send(place, life, index(&endpoint), order);
                    self.later(place, wait, todo);
                }
                Output::Lease(_) => {}
            }
        }
        let now = self.net.now;
        let wake = self.vms[place].1.next_wake(now);
        self.net.wake(place, wake);
    }

    fn later(&mut self, place: Place, wait: Duration, todo: Todo) {
        self.codes += 1;
        self.todo.insert(self.codes, todo);
        let (at, code) = (self.net.now + wait, self.codes);
        self.net.push(at, Event::Custom { place, code });
    }

    fn act(&mut self, todo: Todo) {
        match todo {
            Todo::Send(place, life, engine, order) => {
                let wait = self.net.between(Duration::ZERO, ORDER_DELAY);
                let todo = Todo::Arrive(place, life, engine, order);
                self.later(usize::MAX, wait, todo);
            }
            Todo::Arrive(place, life, engine, order) => {
                let outcome = match self.net.rng.random_range(0..10) {
                    0 => OrderOutcome::NotTaken,
                    1 => {
                        self.take(engine, &order);
                        OrderOutcome::Unknown
                    }
                    2 => OrderOutcome::Unknown,
                    _ => self.take(engine, &order),
                };
                let endpoint = name(engine);
                let input = Input::OrderEnded { endpoint, outcome };
                self.later(
                    place,
                    Duration::from_millis(5),
                    Todo::Tell(place, life, input),
                );
            }
            Todo::Observe(place, life, engine) => {
                let lost = self.net.rng.random_range(0..20) == 0;
                let observation = (!lost).then(|| self.observation(engine));
                let input = Input::Observed {
                    endpoint: name(engine),
                    observation,
                };
                let wait = self.net.between(Duration::ZERO, Duration::from_millis(300));
                self.later(place, wait, Todo::Tell(place, life, input));
            }
            Todo::Tell(place, life, input) => {
                if self.vms[place].0 == life {
                    self.feed(place, input);
                }
            }
        }
    }

    fn observation(&self, engine: usize) -> Observation {
        let engine = &self.engines[engine];
        Observation {
            load: Some(engine.load.clone()),
            ready: self.net.now >= engine.ready_at,
            fencing: self.fenced.then_some(engine.newest),
        }
    }

    /// An engine gets an order, and the oracle looks at it.
    fn take(&mut self, index: usize, order: &Order) -> OrderOutcome {
        let now = self.net.now;
        let newest = self.engines[index].newest;
        if order.fencing < newest {
            if self.fenced {
                return OrderOutcome::Fenced { newest };
            }
            self.fault = Some(format!("old order {order:?} after {newest} at {now:?}"));
        }
        let others = self.engines.iter().enumerate();
        let others = others.filter(|(other, engine)| *other != index && now >= engine.ready_at);
        let enough = others.count() as u32 >= MIN_READY;
        let engine = &mut self.engines[index];
        engine.newest = order.fencing.max(newest);
        if engine.load != order.load {
            let by_hand = self.drifted.is_some_and(|at| now.since(at) < DRIFT_BLUR);
            if now >= engine.ready_at && !enough && !by_hand {
                self.fault = Some(format!("took down a needed engine by {order:?} at {now:?}"));
            }
            engine.load = order.load.clone();
            engine.ready_at = now + LOAD_TIME;
        }
        OrderOutcome::Taken
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.net.now + time;
        while let Some(event) = self.net.next(until) {
            match event {
                Event::Reply { place, id, reply } => self.feed(place, Input::Reply { id, reply }),
                Event::Wake(place) => {
                    let mut out = Vec::new();
                    self.vms[place].1.tick(self.net.now, &mut out);
                    self.carry(place, out);
                }
                Event::Custom { code, .. } => {
                    if let Some(todo) = self.todo.remove(&code) {
                        self.act(todo);
                    }
                }
                Event::Deliver { .. } | Event::Effect { .. } => {}
            }
            if let Some(fault) = &self.fault {
                return Err(fault.clone());
            }
        }
        Ok(())
    }

    fn put(&mut self, version: u8) {
        self.set = Arc::new(set(version, self.fenced));
        self.version = version;
        for place in 0..VMS {
            self.start(place);
        }
    }

    fn late_holder(
        &mut self,
        [wait, work]: [Duration; 2],
        version: u8,
        pause: u64,
    ) -> Result<(), String> {
        let now = self.net.now;
        let holder = self
            .vms
            .iter()
            .position(|(_, core)| core.fencing(now).is_some());
        let Some(holder) = holder else { return Ok(()) };
        self.net.isolated = [holder].into();
        self.run(wait)?;
        self.put(version);
        self.run(work)?;
        self.pause(holder, pause);
        Ok(())
    }

    fn pause(&mut self, place: Place, seconds: u64) {
        let bound = Settings::builder().build().max_pause.as_secs();
        let seconds = if self.fenced {
            seconds
        } else {
            seconds.min(bound)
        };
        if !self.net.is_paused(place) {
            let until = self.net.now + Duration::from_secs(seconds);
            self.net.pause(place, until);
        }
    }
}

impl World<Step> for OrdersWorld {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Set { version } => self.put(version),
            Step::Run { millis } => self.run(Duration::from_millis(millis))?,
            Step::Pause { place, seconds } => self.pause(place, seconds),
            Step::Replace(place) => {
                self.net.forget(place);
                self.vms[place] = self.fresh();
                self.start(place);
            }
            Step::Leave(place) => self.feed(place, Input::Leave),
            Step::LateHolder {
                wait,
                version,
                work,
                pause,
            } => self.late_holder([wait, work].map(Duration::from_millis), version, pause)?,
            Step::Isolate(place) => self.net.isolated = place.into_iter().collect(),
            Step::Platform(health) => self.net.set_health(match health {
                0 => Health::Up,
                1 => Health::Slow,
                2 => Health::Down,
                _ => Health::Lossy,
            }),
            Step::Drift(engine) => {
                self.engines[engine].load = load(9);
                self.drifted = Some(self.net.now);
            }
        }
        Ok(())
    }

    /// Ends all faults, adds a VM that stays, and waits until all engines serve the set.
    fn settle(&mut self) -> Result<(), String> {
        self.net.set_health(Health::Up);
        self.net.isolated.clear();
        self.net.forget(0);
        self.vms[0] = self.fresh();
        self.start(0);
        self.run(Duration::from_mins(8))?;
        let wanted = load(self.version);
        let open = self.engines.iter().find(|engine| engine.load != wanted);
        open.map_or(Ok(()), |open| {
            let status = self.vms[0].1.status(self.net.now);
            Err(format!("not brought to the set: {open:?}, {status:?}"))
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
    let endpoints = (0..ENGINES).map(|engine| {
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
