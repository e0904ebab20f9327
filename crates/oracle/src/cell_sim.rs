//! Simulation of the pools of a cell on a network that loses, duplicates and delays messages.
//!
//! Each VM of the cell runs a pool. The oracle of calls checks the outputs of the pools.

use crate::{
    call_oracle::CallOracle,
    calls::Ending,
    cell_machine::Step,
    fixture::{Kind, catalog, request},
    mutation::Mutation,
};
use core::time::Duration;
use poplarswitch_entity::{CallId, Incarnation, Time};
use poplarswitch_pool::{Input, Mutation as PoolMutation, Output, Pool, PoolMessage};
use poplarswitch_scheduler::{self as scheduler, Dispatch, End, Ended, Policy, Stop};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::collections::{BTreeMap, BTreeSet};

/// Number of VMs of the cell.
pub const VM_COUNT: usize = 3;
/// Tolerated excess of a queue wait, because the home of a route may change.
const WAIT_TOLERANCE: Duration = Duration::from_secs(3);
/// Minimum delay of a message.
const MIN_MESSAGE_DELAY: Duration = Duration::from_micros(500);

/// Faults of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct NetworkFaults {
    /// Messages that are lost, in percent.
    pub loss_percent: u8,
    /// Messages that arrive twice, in percent.
    pub duplicate_percent: u8,
    /// Maximum additional delay, in milliseconds.
    pub max_delay_ms: u64,
}

#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) incarnation: Incarnation,
    pub(crate) pool: Pool,
    pub(crate) paused: bool,
    pub(crate) inbox: Vec<(Incarnation, PoolMessage)>,
    pub(crate) alternate_set: bool,
    pub(crate) last_tick: Time,
}

/// The pools, the network and the oracle.
#[derive(Debug)]
pub struct CellSim {
    /// The oracle of calls.
    pub oracle: CallOracle,
    pub(crate) mutation: Option<Mutation>,
    pub(crate) pool_mutation: Option<PoolMutation>,
    pub(crate) now: Time,
    pub(crate) vms: Vec<Vm>,
    pub(crate) network: NetworkFaults,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    pub(crate) in_transit: BTreeMap<(Time, u64), (Incarnation, Incarnation, PoolMessage)>,
    pub(crate) message_seq: u64,
    pub(crate) call_seq: u64,
    pub(crate) incarnations: u64,
    pub(crate) rng: Pcg64,
}

impl CellSim {
    /// Starts all VMs, which know each other as members.
    pub fn new(mutation: Option<Mutation>) -> Self {
        let mut sim = Self {
            oracle: CallOracle::default(),
            mutation,
            pool_mutation: None,
            now: Time::ZERO,
            vms: Vec::new(),
            network: NetworkFaults::default(),
            cut_links: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            message_seq: 0,
            call_seq: 0,
            incarnations: 0,
            rng: Pcg64::seed_from_u64(1),
        };
        for _ in 0..VM_COUNT {
            let vm = sim.start_vm();
            sim.vms.push(vm);
        }
        (0..VM_COUNT).for_each(|vm| sim.update_members(vm));
        sim
    }

    fn start_vm(&mut self) -> Vm {
        self.incarnations += 1;
        let incarnation = Incarnation(self.incarnations);
        Vm {
            incarnation,
            pool: Pool::new(incarnation, catalog(false), Policy::Full, self.incarnations),
            paused: false,
            inbox: Vec::new(),
            alternate_set: false,
            last_tick: self.now,
        }
    }

    /// Activates a deliberate fault in every pool.
    pub fn mutate(&mut self, mutation: PoolMutation) {
        for vm in &mut self.vms {
            vm.pool.mutate(mutation);
        }
        self.pool_mutation = Some(mutation);
    }

    /// Carries out one step.
    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit(vm, kind) => self.submit(vm, kind),
            Step::Burst(vm, kind, count) => (0..count).for_each(|_| self.submit(vm, kind)),
            Step::End(pick, ending) => self.end_dispatch(pick, ending),
            Step::Cancel(pick) => self.cancel(pick),
            Step::Progress(pick, tokens) => self.progress(pick, tokens),
            Step::SetFaults(faults) => self.network = faults,
            Step::CutLink(a, b) => {
                self.record_fault_everywhere();
                self.cut_links.extend([(a, b), (b, a)]);
            }
            Step::RestoreLinks => self.cut_links.clear(),
            Step::Pause(vm) => self.pause(vm),
            Step::Unpause(vm) => self.unpause(vm),
            Step::Crash(vm) => self.crash(vm),
            Step::UpdateMembers(vm) => self.update_members(vm),
            Step::RemoveMember(vm, other) => self.remove_member(vm, other),
            Step::CrashEndpoint(pick) => self.crash_endpoint(pick),
            Step::Reload(vm) => self.reload(vm),
            Step::Wait(millis) => self.wait(Duration::from_millis(millis)),
        }
        self.oracle.check_waits(self.now, WAIT_TOLERANCE);
    }

    fn submit(&mut self, vm: usize, kind: Kind) {
        if self.vms[vm].paused {
            return;
        }
        self.call_seq += 1;
        let call = CallId {
            origin: self.vms[vm].incarnation,
            seq: self.call_seq,
        };
        self.oracle.record_submission(self.now, call, kind);
        let submit = scheduler::Input::Submit(request(call, kind));
        self.feed(vm, Input::Local(submit));
    }

    pub(crate) fn feed(&mut self, vm: usize, input: Input) {
        let mut out = Vec::new();
        self.vms[vm].pool.handle(self.now, input, &mut out);
        self.apply_outputs(vm, out);
    }

    pub(crate) fn apply_outputs(&mut self, vm: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Local(output) => self.apply_output(vm, output),
                Output::Send { to, message } => self.send(vm, to, &message),
            }
        }
    }

    fn apply_output(&mut self, vm: usize, output: scheduler::Output) {
        let outputs = match self.mutation {
            Some(mutation) => mutation.apply(output),
            None => vec![output],
        };
        for output in outputs {
            self.oracle.check_output(self.now, &output, None);
            if let scheduler::Output::Stop(stop) = output {
                self.end_stopped(vm, stop);
            }
        }
    }

    /// Ends a dispatch immediately, as if its endpoint stopped without delay.
    fn end_stopped(&mut self, vm: usize, stop: Stop) {
        let ended = Ended {
            call: stop.call,
            attempt: stop.attempt,
            end: End::Stopped { emitted: 0 },
        };
        self.oracle.record_end(self.now, &ended);
        self.feed(vm, Input::Local(scheduler::Input::Ended(ended)));
    }

    fn send(&mut self, vm: usize, to: Incarnation, message: &PoolMessage) {
        let receiver = self.vms.iter().position(|other| other.incarnation == to);
        let cut = receiver.is_none_or(|to| self.cut_links.contains(&(vm, to)));
        if cut || self.chance(self.network.loss_percent) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.network.duplicate_percent));
        for _ in 0..copies {
            let added = self.rng.random_range(0..=self.network.max_delay_ms * 1_000);
            let at = self.now + MIN_MESSAGE_DELAY + Duration::from_micros(added);
            self.message_seq += 1;
            let entry = (self.vms[vm].incarnation, to, message.clone());
            self.in_transit.insert((at, self.message_seq), entry);
        }
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// The live dispatches whose origin is running, with the index of that VM.
    pub(crate) fn reachable_dispatches(&self) -> Vec<(usize, Dispatch)> {
        let origin_vm = |dispatch: &Dispatch| {
            let origin = dispatch.call.origin;
            self.vms
                .iter()
                .position(|vm| vm.incarnation == origin && !vm.paused)
        };
        let live = self.oracle.live_dispatches().into_iter();
        live.filter_map(|d| Some((origin_vm(&d)?, d))).collect()
    }

    fn end_dispatch(&mut self, pick: usize, ending: Ending) {
        let reachable = self.reachable_dispatches();
        let Some((vm, dispatch)) = reachable.get(pick % reachable.len().max(1)) else {
            return;
        };
        let record = &self.oracle.records[&dispatch.call];
        let (kind, emitted) = (record.kind, record.emitted);
        if ending != Ending::Answer {
            self.oracle.record_fault(self.now, kind);
        }
        self.finish_dispatch(*vm, ending.to_ended(dispatch, emitted));
    }

    pub(crate) fn finish_dispatch(&mut self, vm: usize, ended: Ended) {
        self.oracle.record_end(self.now, &ended);
        self.feed(vm, Input::Local(scheduler::Input::Ended(ended)));
    }

    fn cancel(&mut self, pick: usize) {
        let open = self.oracle.open_calls();
        let Some(call) = open.get(pick % open.len().max(1)).copied() else {
            return;
        };
        let is_origin = |vm: &Vm| vm.incarnation == call.origin && !vm.paused;
        if let Some(vm) = self.vms.iter().position(is_origin) {
            self.oracle.record_cancellation(call);
            self.feed(vm, Input::Local(scheduler::Input::Cancel(call)));
        }
    }

    fn progress(&mut self, pick: usize, tokens: u32) {
        let reachable = self.reachable_dispatches();
        let Some((vm, dispatch)) = reachable.get(pick % reachable.len().max(1)) else {
            return;
        };
        let Some(progress) = self.oracle.record_progress(dispatch, tokens) else {
            return;
        };
        self.feed(*vm, Input::Local(scheduler::Input::Progress(progress)));
    }

    /// Records a fault that can cause refusals on every route.
    fn record_fault_everywhere(&mut self) {
        for kind in Kind::ALL {
            self.oracle.record_fault(self.now, kind);
        }
    }

    fn pause(&mut self, vm: usize) {
        self.record_fault_everywhere();
        let origin = self.vms[vm].incarnation;
        self.vms[vm].paused = true;
        let records = self.oracle.records.iter_mut();
        records
            .filter(|(call, _)| call.origin == origin)
            .for_each(|(_, record)| record.vm_paused = true);
    }

    pub(crate) fn unpause(&mut self, vm: usize) {
        if !core::mem::take(&mut self.vms[vm].paused) {
            return;
        }
        for (from, message) in core::mem::take(&mut self.vms[vm].inbox) {
            self.feed(vm, Input::Peer { from, message });
        }
    }

    /// Replaces a VM by a new incarnation, without telling the others.
    fn crash(&mut self, vm: usize) {
        self.record_fault_everywhere();
        let origin = self.vms[vm].incarnation;
        let records = self.oracle.records.iter_mut();
        for (_, record) in records.filter(|(call, _)| call.origin == origin) {
            record.closed = true;
            record.live = None;
        }
        self.vms[vm] = self.start_vm();
        if let Some(mutation) = self.pool_mutation {
            self.vms[vm].pool.mutate(mutation);
        }
        self.update_members(vm);
    }

    pub(crate) fn update_members(&mut self, vm: usize) {
        let members: Vec<Incarnation> = self.vms.iter().map(|vm| vm.incarnation).collect();
        if !self.vms[vm].paused {
            self.feed(vm, Input::Members(members));
        }
    }

    /// Removes one VM from the members that another one knows.
    fn remove_member(&mut self, vm: usize, other: usize) {
        let removed = self.vms[other].incarnation;
        let ids = self.vms.iter().map(|vm| vm.incarnation);
        let members: Vec<Incarnation> = ids.filter(|id| *id != removed).collect();
        if !self.vms[vm].paused {
            self.feed(vm, Input::Members(members));
        }
    }

    /// Ends all dispatches of one endpoint, as if it crashed.
    fn crash_endpoint(&mut self, pick: usize) {
        let reachable = self.reachable_dispatches();
        let Some((_, chosen)) = reachable.get(pick % reachable.len().max(1)).cloned() else {
            return;
        };
        self.record_fault_everywhere();
        for (vm, dispatch) in reachable {
            if dispatch.endpoint == chosen.endpoint {
                let emitted = self.oracle.records[&dispatch.call].emitted;
                self.finish_dispatch(vm, Ending::Lost.to_ended(&dispatch, emitted));
            }
        }
    }

    fn reload(&mut self, vm: usize) {
        if self.vms[vm].paused {
            return;
        }
        self.record_fault_everywhere();
        let state = &mut self.vms[vm];
        state.alternate_set = !state.alternate_set;
        let mut out = Vec::new();
        let set = catalog(state.alternate_set);
        state.pool.reload(self.now, set, &mut out);
        self.apply_outputs(vm, out);
    }
}
