//! Simulation of membership: VMs start, drain, crash, pause and lose messages to each other.
//!
//! The oracle knows which processes run. At most one direction between two VMs is cut at a time,
//! so if a third VM runs, it receives the heartbeats of a running VM, and no VM may consider that
//! one dead.

use crate::{
    cluster_env::{Environment, Event, NodeIndex},
    cluster_members_steps::Step,
    cluster_search::Simulation,
};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_discovery::{Answer, Drain, Query, answer};
use poplarswitch_entity::{Incarnation, Time};
use poplarswitch_members::{
    Core, Identity, Input, MembersMessage, Mutation, Output, Settings, State,
};
use rand::RngExt as _;

/// Number of VMs; the first four form one cell and the others another.
pub const VM_COUNT: usize = 6;
/// VMs of the first cell.
const FIRST_CELL_SIZE: usize = 4;
/// Divisor of an incarnation number; the remainder is the index of the node.
const INCARNATION_MODULUS: u64 = 16;
/// Time from the stop signal after which no answer may list the leaving VM.
const LEAVE_REMOVAL_BOUND: Duration = Duration::from_secs(5);
/// Time after which no answer of the same cell may list a dead VM.
const LOCAL_REMOVAL_BOUND: Duration = Duration::from_secs(9);
/// Time after which no answer of another cell may list a dead VM, even if its whole cell is dead.
const REMOTE_REMOVAL_BOUND: Duration = Duration::from_secs(50);
/// Time after a change of a VM in which the members that VMs know may be out of date.
const SETTLE_TIME: Duration = Duration::from_secs(12);

#[derive(Debug)]
struct Vm {
    core: Core,
    drain: Drain,
    running: bool,
    /// When the process last started or ended, or the end of its last pause.
    last_change: Time,
    stop_time: Option<Time>,
}

/// The VMs, the environment and the first violation.
#[derive(Debug)]
pub struct MembersSim {
    env: Environment<MembersMessage>,
    vms: Vec<Vm>,
    mutation: Option<Mutation>,
    drain_mutation: Option<poplarswitch_discovery::Mutation>,
    incarnations: u64,
    next_check: Time,
    violation: Option<String>,
}

impl MembersSim {
    /// Starts all VMs, each with the addresses of all as seeds.
    pub fn new(
        seed: u64,
        mutation: Option<Mutation>,
        drain_mutation: Option<poplarswitch_discovery::Mutation>,
    ) -> Self {
        let mut sim = Self {
            env: Environment::new(seed),
            vms: Vec::new(),
            mutation,
            drain_mutation,
            incarnations: 0,
            next_check: Time::ZERO,
            violation: None,
        };
        for node in 0..VM_COUNT {
            let vm = sim.new_vm(node);
            sim.vms.push(vm);
            sim.env.schedule_wake(node, Some(Time::ZERO));
        }
        sim
    }

    fn new_vm(&mut self, node: NodeIndex) -> Vm {
        self.incarnations += 1;
        let in_first_cell = node < FIRST_CELL_SIZE;
        let me = Identity::builder()
            .vm(format!("vm-{node}").as_str())
            .incarnation(Incarnation(
                self.incarnations * INCARNATION_MODULUS + node as u64,
            ))
            .started(self.incarnations)
            .data_centre(if in_first_cell { "a" } else { "b" })
            .cell(if in_first_cell { "a" } else { "b" })
            .address(address(node))
            .caller_address(address(node))
            .build();
        let seeds = (0..VM_COUNT).map(address).collect();
        let settings = Settings::builder().seeds(seeds).build();
        let mut core = Core::new(me, settings, self.incarnations);
        let mut drain = Drain::new(poplarswitch_discovery::Settings::builder().build());
        if let Some(mutation) = self.mutation {
            core.mutate(mutation);
        }
        if let Some(mutation) = self.drain_mutation {
            drain.mutate(mutation);
        }
        Vm {
            core,
            drain,
            running: true,
            last_change: self.env.now,
            stop_time: None,
        }
    }

    fn feed(&mut self, node: NodeIndex, input: Input) {
        if !self.vms[node].running {
            return;
        }
        let mut out = Vec::new();
        self.vms[node].core.handle(self.env.now, input, &mut out);
        self.apply_outputs(node, out);
    }

    fn apply_outputs(&mut self, node: NodeIndex, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => {
                    let target = (to.0 % INCARNATION_MODULUS) as usize;
                    if self.runs_as(target, to) {
                        self.env.send(node, target, message);
                    }
                }
                Output::Dial(address) => self.dial(node, address),
                Output::Paused(_) => self.vms[node].last_change = self.env.now,
                Output::Close(peer) => {
                    let target = (peer.0 % INCARNATION_MODULUS) as usize;
                    let me = self.vms[node].core.me().incarnation;
                    if self.runs_as(target, peer) {
                        self.feed(target, Input::Unlinked(me));
                    }
                }
                Output::List | Output::Changed { .. } => {}
            }
        }
        let wake = self.vms[node].core.next_wake();
        self.env.schedule_wake(node, wake);
    }

    fn runs_as(&self, node: NodeIndex, incarnation: Incarnation) -> bool {
        let vm = self.vms.get(node);
        vm.is_some_and(|vm| vm.running && vm.core.me().incarnation == incarnation)
    }

    fn dial(&mut self, from: NodeIndex, address: SocketAddr) {
        let to = usize::from(address.port()) - 1_000;
        let code = to as u64;
        let at = self.env.now + Duration::from_millis(1);
        self.env.push(at, Event::Custom { node: from, code });
    }

    fn link(&mut self, a: NodeIndex, b: NodeIndex) {
        let cut = self.env.cut_links.contains(&(a, b)) || self.env.cut_links.contains(&(b, a));
        if !self.vms[a].running || !self.vms[b].running || cut || self.env.is_paused(b) {
            return;
        }
        let (first, second) = (self.vms[a].core.me().clone(), self.vms[b].core.me().clone());
        self.feed(a, Input::Linked(second));
        self.feed(b, Input::Linked(first));
    }

    fn end_process(&mut self, node: NodeIndex, links_open: bool) {
        let incarnation = self.vms[node].core.me().incarnation;
        self.vms[node].running = false;
        self.vms[node].last_change = self.env.now;
        self.env.reset_node(node);
        if links_open {
            return;
        }
        for other in (0..VM_COUNT).filter(|other| *other != node) {
            self.feed(other, Input::Unlinked(incarnation));
        }
    }

    fn start(&mut self, node: NodeIndex) {
        if !self.vms[node].running {
            self.vms[node] = self.new_vm(node);
            self.env.schedule_wake(node, Some(self.env.now));
        }
    }

    fn stop(&mut self, node: NodeIndex) {
        let vm = &mut self.vms[node];
        if !vm.running || vm.stop_time.is_some() {
            return;
        }
        vm.stop_time = Some(self.env.now);
        let input = poplarswitch_discovery::Input::Stop;
        self.drain(node, Some(input));
    }

    fn drain(&mut self, node: NodeIndex, input: Option<poplarswitch_discovery::Input>) {
        let now = self.env.now;
        let mut out = Vec::new();
        match input {
            Some(input) => self.vms[node].drain.handle(now, input, &mut out),
            None => self.vms[node].drain.tick(now, &mut out),
        }
        for output in out {
            match output {
                poplarswitch_discovery::Output::Leave => self.feed(node, Input::Leave),
                poplarswitch_discovery::Output::HandOver => {
                    let input = poplarswitch_discovery::Input::HandedOver;
                    return self.drain(node, Some(input));
                }
                poplarswitch_discovery::Output::Exit { cut } => {
                    if cut > 0 {
                        self.violation =
                            Some(format!("VM {node} exited with {cut} calls in flight"));
                    }
                    return self.end_process(node, false);
                }
            }
        }
    }

    /// Queries one VM for addresses and starts a call at the first one.
    fn call(&mut self, queried: NodeIndex) {
        let Some(answer) = self.query(queried) else {
            return;
        };
        let Some(first) = answer.addresses.first() else {
            return;
        };
        let node = usize::from(first.address.port()) - 1_000;
        if self.vms[node].running && self.vms[node].drain.admit() {
            let wait = self
                .env
                .random_duration(Duration::ZERO, Duration::from_secs(20));
            let code = 1_000 + self.vms[node].core.me().incarnation.0;
            let at = self.env.now + wait;
            self.env.push(at, Event::Custom { node, code });
        }
    }

    fn query(&self, node: NodeIndex) -> Option<Answer> {
        let vm = &self.vms[node];
        if !vm.running || self.env.is_paused(node) {
            return None;
        }
        let leaving = vm.core.is_leaving();
        let except = leaving.then_some(vm.core.me().incarnation);
        Some(answer(&Query::default(), &vm.core.members(), except))
    }

    fn run(&mut self, time: Duration) -> Result<(), String> {
        let until = self.env.now + time;
        while let Some(event) = self.env.next_event(until) {
            match event {
                Event::Deliver { from, to, message } => {
                    let from = self.vms[from].core.me().incarnation;
                    self.feed(to, Input::Message { from, message });
                }
                Event::Wake(node) if self.vms[node].running => {
                    let mut out = Vec::new();
                    self.vms[node].core.tick(self.env.now, &mut out);
                    self.apply_outputs(node, out);
                    self.drain(node, None);
                }
                // Codes from 1,000 end a call (1,000 plus the incarnation of its VM); lower codes
                // are the indices of dialled nodes.
                Event::Custom { node, code } if code >= 1_000 => {
                    if self.runs_as(node, Incarnation(code - 1_000)) {
                        self.vms[node].drain.end();
                        self.drain(node, None);
                    }
                }
                Event::Custom { node, code } => self.link(node, code as usize),
                Event::Wake(_) | Event::Reply { .. } | Event::Request { .. } => {}
            }
            if self.env.now >= self.next_check {
                self.next_check = self.env.now + Duration::from_millis(200);
                self.check()?;
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let now = self.env.now;
        for observer in 0..VM_COUNT {
            let vm = &self.vms[observer];
            let settled = now.since(vm.last_change) >= SETTLE_TIME;
            let Some(answer) = self.query(observer).filter(|_| settled) else {
                continue;
            };
            for target in (0..VM_COUNT).filter(|target| *target != observer) {
                self.check_pair(observer, target, &answer)?;
            }
        }
        Ok(())
    }

    /// Whether a VM has run without a pause for long enough to be known by all VMs.
    fn is_steady(&self, node: NodeIndex) -> bool {
        let vm = &self.vms[node];
        let unchanged = self.env.now.since(vm.last_change);
        vm.running && unchanged >= SETTLE_TIME && !self.env.is_paused(node)
    }

    fn check_pair(
        &self,
        observer: NodeIndex,
        target: NodeIndex,
        answer: &Answer,
    ) -> Result<(), String> {
        let now = self.env.now;
        let vm = &self.vms[target];
        let listed = answer
            .addresses
            .iter()
            .any(|candidate| candidate.address == address(target));
        let pair = format!(
            "VM {observer}, target VM {target}, at {} s",
            now.as_secs_f64()
        );
        if let Some(stopped) = vm.stop_time.filter(|_| vm.running) {
            let late = now.since(stopped) >= LEAVE_REMOVAL_BOUND;
            return if late && listed {
                Err(format!("leaving VM is still listed: {pair}"))
            } else {
                Ok(())
            };
        }
        let same_cell = (observer < FIRST_CELL_SIZE) == (target < FIRST_CELL_SIZE);
        let bound = if same_cell {
            LOCAL_REMOVAL_BOUND
        } else {
            REMOTE_REMOVAL_BOUND
        };
        // A VM measures the silence of others from the end of its own pause only, and until then
        // gossips what it knew before. That concerns the observer and the VMs of the target's
        // cell, which decide whether the target is alive.
        let cell =
            (0..VM_COUNT).filter(|other| (*other < FIRST_CELL_SIZE) == (target < FIRST_CELL_SIZE));
        let last_changes = cell
            .chain([observer])
            .map(|node| self.vms[node].last_change);
        let unchanged = now.since(last_changes.max().unwrap_or_default());
        if !vm.running && unchanged >= bound && listed {
            return Err(format!("dead VM is still listed: {pair}"));
        }
        let steady = self.is_steady(target);
        let state = self.vms[observer].core.member(vm.core.me().incarnation);
        let alive = state.is_some_and(|member| member.state == State::Alive);
        let has_witness = (0..VM_COUNT)
            .any(|other| ![observer, target].contains(&other) && self.is_steady(other));
        if steady && has_witness && !alive {
            return Err(format!("running VM is not considered alive: {pair}"));
        }
        Ok(())
    }
}

impl Simulation<Step> for MembersSim {
    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Run { millis } => self.run(Duration::from_millis(millis))?,
            Step::Crash { node, links_open } => self.end_process(node, links_open),
            Step::Start(node) => self.start(node),
            Step::Stop(node) => self.stop(node),
            Step::Pause { node, seconds } if self.vms[node].running => {
                let until = self.env.now + Duration::from_secs(seconds);
                self.env.pause(node, until);
                self.vms[node].last_change = until;
            }
            Step::Pause { .. } => {}
            Step::CutDirection(a, b) => {
                self.env.cut_links.clear();
                self.env.cut_links.insert((a, b));
            }
            Step::RestoreLinks => self.env.cut_links.clear(),
            Step::Call(node) => self.call(node),
        }
        self.check()
    }

    fn settle(&mut self) -> Result<(), String> {
        self.env.cut_links.clear();
        for node in 0..VM_COUNT {
            if self.env.rng.random_range(0..2) == 0 {
                self.start(node);
            }
        }
        self.run(Duration::from_secs(80))
    }
}

fn address(node: NodeIndex) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + node as u16))
}
