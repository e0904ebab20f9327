//! One run: the event loop and the VMs.

use crate::{
    Row, Sharing,
    demand::{Arrival, arrivals},
    engine::Kind,
    events::{Agenda, Event},
    run::Case,
    scenario::{BURST_END, LAST_ARRIVAL, Trouble},
    sites::Site,
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
const NEAR: Duration = Duration::from_micros(100);
/// Shortest time between two looks at the clock.
const WAKE_GAP: Duration = Duration::from_micros(100);
/// Time from the beginning of a crash to the return of the endpoint.
const CRASH_TIME: Duration = Duration::from_secs(30);
/// When the trouble begins.
const TROUBLE_START: Time = Time::from_millis(60_000);
/// When a run is cut off.
const CUT_OFF: Time = Time::from_millis(900_000);

/// A VM.
#[derive(Debug)]
pub struct Vm {
    /// Its pool.
    pub pool: Pool,
    wake: Option<Time>,
}

/// The state of a run.
#[derive(Debug)]
pub struct Sim<'a> {
    /// What is run.
    pub case: &'a Case,
    /// The deployment.
    pub world: &'a World,
    /// Its calls.
    pub arrivals: &'a [Arrival],
    /// The present.
    pub now: Time,
    /// What happens next.
    pub agenda: Agenda,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The endpoints.
    pub sites: Vec<Site>,
    /// The endpoints by name.
    pub names: HashMap<EndpointName, usize>,
    /// What became of the calls.
    pub tally: Tally<'a>,
    /// Chance, for lost cache events.
    pub rng: Pcg64,
    /// Where each call was last sent.
    pub places: Vec<usize>,
    /// Prompts read.
    pub prompts: u64,
    /// Prompts whose prefix was cached.
    pub hits: u64,
    /// Calls that have not ended.
    pub open: usize,
}

/// Runs one case.
pub fn run(case: &Case) -> Row {
    let world = World::of(case.scenario.firm());
    let arrivals = arrivals(&world, case.scenario, case.vms, case.seed);
    let mut sim = Sim::new(case, &world, &arrivals);
    sim.begin();
    while let Some((at, event)) = sim.agenda.next() {
        if at > CUT_OFF || (sim.open == 0 && at > LAST_ARRIVAL) {
            break;
        }
        sim.now = at;
        sim.step(event);
    }
    sim.row()
}

impl<'a> Sim<'a> {
    fn new(case: &'a Case, world: &'a World, arrivals: &'a [Arrival]) -> Self {
        let catalog = Catalog::build(&world.set, Generation(1)).expect("the world resolves");
        let catalog = Arc::new(catalog);
        let vm = |i: u32| Vm {
            pool: Pool::new(id(i as usize), Arc::clone(&catalog), case.policy, case.seed),
            wake: None,
        };
        let sites: Vec<Site> = world.set.endpoints.iter().map(Site::new).collect();
        let names = sites.iter().enumerate();
        Self {
            case,
            world,
            arrivals,
            now: Time::ZERO,
            agenda: Agenda::default(),
            vms: (0..case.vms).map(vm).collect(),
            names: names.map(|(i, s)| (s.endpoint.name.clone(), i)).collect(),
            sites,
            tally: Tally::new(world, arrivals),
            rng: Pcg64::seed_from_u64(case.seed * 100 + 98),
            places: vec![0; arrivals.len()],
            prompts: 0,
            hits: 0,
            open: arrivals.len(),
        }
    }

    fn begin(&mut self) {
        let ids: Vec<Incarnation> = (0..self.vms.len()).map(id).collect();
        for vm in 0..self.vms.len() {
            let members = match self.case.sharing {
                Sharing::Cell => ids.clone(),
                Sharing::Alone => vec![ids[vm]],
            };
            self.feed(vm, pool::Input::Members(members));
        }
        for (i, arrival) in self.arrivals.iter().enumerate() {
            self.agenda.add(arrival.at, Event::Arrive(i));
        }
        self.agenda.add(Time::ZERO, Event::Publish);
        self.agenda.add(TROUBLE_START, Event::Break);
        let end = match self.case.scenario.trouble() {
            Trouble::Crash => TROUBLE_START + CRASH_TIME,
            Trouble::Straggle | Trouble::None => BURST_END,
        };
        self.agenda.add(end, Event::Mend);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Wake(vm) => self.wake(vm),
            Event::Hear(vm, input) => self.hear(vm, input),
            Event::Receive(vm, from, message) => {
                self.feed(vm, pool::Input::Peer { from, message });
            }
            Event::Start {
                endpoint,
                call,
                attempt,
                mode,
            } => self.start(endpoint, call, attempt, mode),
            Event::Halt {
                endpoint,
                call,
                attempt,
            } => self.halt(endpoint, call, attempt),
            Event::Look(site, version) => self.look(site, version),
            Event::Publish => self.publish(),
            Event::Break => self.trouble(true),
            Event::Mend => self.trouble(false),
        }
    }

    fn arrive(&mut self, call: usize) {
        let arrival = &self.arrivals[call];
        let work = &self.world.workloads[arrival.class];
        let request = Request {
            call: self.call_id(call),
            class: work.class.clone(),
            workspace: arrival.workspace.clone(),
            route: work.route.clone(),
            adapter: None,
            prefix: arrival.prefix,
            input_tokens: arrival.input,
            max_tokens: (work.output * 8.0) as u32,
            data_centre: self.world.places[arrival.vm % 3].clone(),
            waited: Duration::ZERO,
        };
        self.feed(arrival.vm, pool::Input::Local(Input::Submit(request)));
    }

    /// The identifier of a call.
    pub fn call_id(&self, call: usize) -> CallId {
        CallId {
            origin: id(self.arrivals[call].vm),
            seq: call as u64,
        }
    }

    fn hear(&mut self, vm: usize, input: Input) {
        if let Input::Ended(ended) = &input {
            let call = ended.call.seq as usize;
            if matches!(ended.end, End::Answered { .. }) {
                self.tally.records[call].first.get_or_insert(self.now);
                self.close(call, Outcome::Answered);
            }
        }
        if let Input::Progress(progress) = &input {
            let record = &mut self.tally.records[progress.call.seq as usize];
            record.first.get_or_insert(self.now);
        }
        self.feed(vm, pool::Input::Local(input));
    }

    fn close(&mut self, call: usize, outcome: Outcome) {
        let record = &mut self.tally.records[call];
        if record.outcome == Outcome::Open {
            record.outcome = outcome;
            record.ended = Some(self.now);
            self.open -= 1;
        }
    }

    fn feed(&mut self, vm: usize, input: pool::Input) {
        let mut out = Vec::new();
        self.vms[vm].pool.handle(self.now, input, &mut out);
        self.obey(vm, out);
    }

    fn wake(&mut self, vm: usize) {
        let now = self.now;
        let state = &mut self.vms[vm];
        if state.wake.is_none_or(|at| at > now) {
            return;
        }
        state.wake = None;
        let mut out = Vec::new();
        if state.pool.next_wake().is_some_and(|at| at <= now) {
            state.pool.tick(now, &mut out);
        }
        self.obey(vm, out);
    }

    fn obey(&mut self, vm: usize, out: Vec<pool::Output>) {
        for output in out {
            match output {
                pool::Output::Local(order) => self.order(vm, order),
                pool::Output::Send { to, message } => {
                    let receiver = to.0 as usize - 1;
                    let at = self.now + self.delay(vm, receiver);
                    let event = Event::Receive(receiver, id(vm), message);
                    self.agenda.add(at, event);
                }
            }
        }
        let Some(next) = self.vms[vm].pool.next_wake() else {
            return;
        };
        let at = next.max(self.now + WAKE_GAP);
        if self.vms[vm]
            .wake
            .is_none_or(|wake| at < wake || wake <= self.now)
        {
            self.vms[vm].wake = Some(at);
            self.agenda.add(at, Event::Wake(vm));
        }
    }

    fn order(&mut self, vm: usize, order: Output) {
        let call = order.call().seq as usize;
        match order {
            Output::Dispatch(dispatch) => self.dispatch(vm, call, &dispatch),
            Output::Stop(stop) => {
                let endpoint = self.places[call];
                let event = Event::Halt {
                    endpoint,
                    call,
                    attempt: stop.attempt,
                };
                self.agenda.add(self.now + self.delay(vm, endpoint), event);
            }
            Output::Refuse(_) => self.close(call, Outcome::Refused),
            Output::Conclude(verdict) => self.close(call, verdict.kind.into()),
        }
    }

    fn dispatch(&mut self, vm: usize, call: usize, dispatch: &Dispatch) {
        let endpoint = self.names[&dispatch.endpoint];
        let record = &mut self.tally.records[call];
        record.dispatched.get_or_insert(self.now);
        self.places[call] = endpoint;
        let event = Event::Start {
            endpoint,
            call,
            attempt: dispatch.attempt,
            mode: dispatch.mode,
        };
        self.agenda.add(self.now + self.delay(vm, endpoint), event);
    }

    /// One-way delay between two places; VMs and endpoints go round the data centres.
    pub fn delay(&self, a: usize, b: usize) -> Duration {
        if a % 3 == b % 3 {
            NEAR
        } else {
            self.world.delay
        }
    }

    fn row(self) -> Row {
        let seconds = LAST_ARRIVAL.as_secs_f64();
        let classes = self.tally.classes(seconds);
        let engines = self.sites.iter().filter(|s| s.engine.kind == Kind::Model);
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
            cache_hit_percent: rounded(self.hits as f64 * 100.0 / self.prompts.max(1) as f64),
        }
    }
}

/// The identifier of a VM.
pub const fn id(vm: usize) -> Incarnation {
    Incarnation(vm as u64 + 1)
}
