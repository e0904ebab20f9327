//! Several pools under the oracle, on a network that loses, repeats and delays messages.

use crate::{
    calls::Ending,
    cell_machine::Step,
    fixture::{Kind, catalog, request},
    judge::Judge,
    mutation::Mutation,
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_pool::{Input, Mutation as Fault, Output, Pool, PoolMessage};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Policy, Stop};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// VMs of the cell.
pub const VMS: usize = 3;
/// Time that changes of home may add to a wait.
const SLACK: Duration = Duration::from_secs(3);
/// Shortest delay of a message.
const DELAY: Duration = Duration::from_micros(500);

/// How the network treats messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Net {
    /// Messages lost, in percent.
    pub lost: u8,
    /// Messages repeated, in percent.
    pub repeated: u8,
    /// Largest added delay, in milliseconds.
    pub delay: u64,
}

#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) id: Incarnation,
    pub(crate) pool: Pool,
    pub(crate) paused: bool,
    pub(crate) inbox: Vec<(Incarnation, PoolMessage)>,
    pub(crate) second: bool,
    pub(crate) looked: Time,
}

/// The pools, the network and the oracle.
#[derive(Debug)]
pub struct Cell {
    /// The oracle.
    pub judge: Judge,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) fault: Option<Fault>,
    pub(crate) now: Time,
    pub(crate) vms: Vec<Vm>,
    pub(crate) net: Net,
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    pub(crate) wire: BTreeMap<(Time, u64), (Incarnation, Incarnation, PoolMessage)>,
    pub(crate) sent: u64,
    pub(crate) seq: u64,
    pub(crate) lives: u64,
    pub(crate) rng: Pcg64,
}

impl Cell {
    /// Starts all VMs with the same view.
    pub fn new(mutation: Option<Mutation>) -> Self {
        let mut cell = Self {
            judge: Judge::default(),
            mutation,
            fault: None,
            now: Time::ZERO,
            vms: Vec::new(),
            net: Net::default(),
            cuts: BTreeSet::new(),
            wire: BTreeMap::new(),
            sent: 0,
            seq: 0,
            lives: 0,
            rng: Pcg64::seed_from_u64(1),
        };
        for _ in 0..VMS {
            let vm = cell.start_vm();
            cell.vms.push(vm);
        }
        (0..VMS).for_each(|vm| cell.show_members(vm));
        cell
    }

    fn start_vm(&mut self) -> Vm {
        self.lives += 1;
        let id = Incarnation(self.lives);
        Vm {
            id,
            pool: Pool::new(id, catalog(false), Policy::Full, self.lives),
            paused: false,
            inbox: Vec::new(),
            second: false,
            looked: self.now,
        }
    }

    /// Puts a deliberate fault into every pool.
    pub fn mutate(&mut self, fault: Fault) {
        for vm in &mut self.vms {
            vm.pool.mutate(fault);
        }
        self.fault = Some(fault);
    }

    /// Does one step.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit(vm, kind) => self.submit(vm, kind),
            Step::Burst(vm, kind, count) => (0..count).for_each(|_| self.submit(vm, kind)),
            Step::End(pick, ending) => self.end(pick, ending),
            Step::Cancel(pick) => self.cancel(pick),
            Step::Progress(pick, tokens) => self.progress(pick, tokens),
            Step::Network(net) => self.net = net,
            Step::Cut(a, b) => {
                self.disturb();
                self.cuts.extend([(a, b), (b, a)]);
            }
            Step::Heal => self.cuts.clear(),
            Step::Pause(vm) => self.pause(vm),
            Step::Wake(vm) => self.wake(vm),
            Step::Crash(vm) => self.crash(vm),
            Step::Members(vm) => self.show_members(vm),
            Step::Leave(vm, other) => self.hide_member(vm, other),
            Step::EngineCrash(pick) => self.engine_crash(pick),
            Step::Reload(vm) => self.reload(vm),
            Step::Wait(millis) => self.wait(Duration::from_millis(millis)),
        }
        self.judge.check_waits(self.now, SLACK);
    }

    fn submit(&mut self, vm: usize, kind: Kind) {
        if self.vms[vm].paused {
            return;
        }
        self.seq += 1;
        let call = CallId {
            origin: self.vms[vm].id,
            seq: self.seq,
        };
        self.judge.submitted(self.now, call, kind);
        let submit = scheduler::Input::Submit(request(call, kind));
        self.feed(vm, Input::Local(submit));
    }

    pub(crate) fn feed(&mut self, vm: usize, input: Input) {
        let mut out = Vec::new();
        self.vms[vm].pool.handle(self.now, input, &mut out);
        self.obey(vm, out);
    }

    pub(crate) fn obey(&mut self, vm: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Local(order) => self.order(vm, order),
                Output::Send { to, message } => self.send(vm, to, &message),
            }
        }
    }

    fn order(&mut self, vm: usize, order: scheduler::Output) {
        let orders = match self.mutation {
            Some(mutation) => mutation.apply(order),
            None => vec![order],
        };
        for order in orders {
            self.judge.ordered(self.now, &order, None);
            if let scheduler::Output::Stop(stop) = order {
                self.stop(vm, stop);
            }
        }
    }

    /// The endpoint obeys a stop at once.
    fn stop(&mut self, vm: usize, stop: Stop) {
        let ended = Ended {
            call: stop.call,
            attempt: stop.attempt,
            end: End::Stopped { emitted: 0 },
        };
        self.judge.ended(self.now, &ended);
        self.feed(vm, Input::Local(scheduler::Input::Ended(ended)));
    }

    fn send(&mut self, vm: usize, to: Incarnation, message: &PoolMessage) {
        let receiver = self.vms.iter().position(|other| other.id == to);
        let cut = receiver.is_none_or(|to| self.cuts.contains(&(vm, to)));
        if cut || self.chance(self.net.lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.net.repeated));
        for _ in 0..copies {
            let added = self.rng.random_range(0..=self.net.delay * 1_000);
            let at = self.now + DELAY + Duration::from_micros(added);
            self.sent += 1;
            let entry = (self.vms[vm].id, to, message.clone());
            self.wire.insert((at, self.sent), entry);
        }
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// The live dispatches of VMs that can hear of their end.
    pub(crate) fn heard(&self) -> Vec<(usize, Dispatch)> {
        let holder = |dispatch: &Dispatch| {
            let origin = dispatch.call.origin;
            self.vms.iter().position(|vm| vm.id == origin && !vm.paused)
        };
        let live = self.judge.live().into_iter();
        live.filter_map(|d| Some((holder(&d)?, d))).collect()
    }

    fn end(&mut self, pick: usize, ending: Ending) {
        let heard = self.heard();
        let Some((vm, dispatch)) = heard.get(pick % heard.len().max(1)) else {
            return;
        };
        let record = &self.judge.records[&dispatch.call];
        let (kind, emitted) = (record.kind, record.emitted);
        if ending != Ending::Answer {
            self.judge.faulted(self.now, kind);
        }
        self.conclude(*vm, ending.of(dispatch, emitted));
    }

    pub(crate) fn conclude(&mut self, vm: usize, ended: Ended) {
        self.judge.ended(self.now, &ended);
        self.feed(vm, Input::Local(scheduler::Input::Ended(ended)));
    }

    fn cancel(&mut self, pick: usize) {
        let open = self.judge.open();
        let Some(call) = open.get(pick % open.len().max(1)).copied() else {
            return;
        };
        let holder = |vm: &Vm| vm.id == call.origin && !vm.paused;
        if let Some(vm) = self.vms.iter().position(holder) {
            self.judge.left(call);
            self.feed(vm, Input::Local(scheduler::Input::Cancel(call)));
        }
    }

    fn progress(&mut self, pick: usize, tokens: u32) {
        let heard = self.heard();
        let Some((vm, dispatch)) = heard.get(pick % heard.len().max(1)) else {
            return;
        };
        let Some(progress) = self.judge.emitted(dispatch, tokens) else {
            return;
        };
        self.feed(*vm, Input::Local(scheduler::Input::Progress(progress)));
    }

    /// A fault between VMs: it may explain a refusal on any route.
    fn disturb(&mut self) {
        for kind in Kind::ALL {
            self.judge.faulted(self.now, kind);
        }
    }

    fn pause(&mut self, vm: usize) {
        self.disturb();
        let id = self.vms[vm].id;
        self.vms[vm].paused = true;
        let held = self.judge.records.iter_mut();
        held.filter(|(call, _)| call.origin == id)
            .for_each(|(_, record)| record.excused = true);
    }

    pub(crate) fn wake(&mut self, vm: usize) {
        if !core::mem::take(&mut self.vms[vm].paused) {
            return;
        }
        for (from, message) in core::mem::take(&mut self.vms[vm].inbox) {
            self.feed(vm, Input::Peer { from, message });
        }
    }

    /// A VM dies and another takes its place; the others are not told.
    fn crash(&mut self, vm: usize) {
        self.disturb();
        let id = self.vms[vm].id;
        let held = self.judge.records.iter_mut();
        for (_, record) in held.filter(|(call, _)| call.origin == id) {
            record.over = true;
            record.live = None;
        }
        self.vms[vm] = self.start_vm();
        if let Some(fault) = self.fault {
            self.vms[vm].pool.mutate(fault);
        }
        self.show_members(vm);
    }

    pub(crate) fn show_members(&mut self, vm: usize) {
        let members: Vec<Incarnation> = self.vms.iter().map(|vm| vm.id).collect();
        if !self.vms[vm].paused {
            self.feed(vm, Input::Members(members));
        }
    }

    /// One VM takes another for leaving.
    fn hide_member(&mut self, vm: usize, other: usize) {
        let hidden = self.vms[other].id;
        let ids = self.vms.iter().map(|vm| vm.id);
        let members: Vec<Incarnation> = ids.filter(|id| *id != hidden).collect();
        if !self.vms[vm].paused {
            self.feed(vm, Input::Members(members));
        }
    }

    /// An endpoint crashes: every call that it runs is lost.
    fn engine_crash(&mut self, pick: usize) {
        let heard = self.heard();
        let Some((_, chosen)) = heard.get(pick % heard.len().max(1)).cloned() else {
            return;
        };
        self.disturb();
        for (vm, dispatch) in heard {
            if dispatch.endpoint == chosen.endpoint {
                let emitted = self.judge.records[&dispatch.call].emitted;
                self.conclude(vm, Ending::Lost.of(&dispatch, emitted));
            }
        }
    }

    fn reload(&mut self, vm: usize) {
        if self.vms[vm].paused {
            return;
        }
        self.disturb();
        let state = &mut self.vms[vm];
        state.second = !state.second;
        let mut out = Vec::new();
        let set = catalog(state.second);
        state.pool.reload(self.now, set, &mut out);
        self.obey(vm, out);
    }
}
