//! Virtual time in the simulation of a cell, and the end of a case.

use crate::{
    calls::Ending,
    cell_sim::{CellSim, NetworkFaults, VM_COUNT, Vm},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_pool::Input;

/// Virtual time at the end of a case, after which every call has to have ended.
const FINISH_DURATION: Duration = Duration::from_mins(1);
/// Interval at which all live dispatches are ended at the end of a case.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two ticks of a pool.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(100);

impl CellSim {
    pub(crate) fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            self.now = next.max(self.now);
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Time> {
        let deliveries = self.in_transit.first_key_value().map(|((at, _), _)| *at);
        let running = self.vms.iter().filter(|vm| !vm.paused);
        let wake = |vm: &Vm| Some(vm.pool.next_wake()?.max(vm.last_tick + MIN_TICK_INTERVAL));
        running.filter_map(wake).chain(deliveries).min()
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            let Some(vm) = self.vms.iter().position(|vm| vm.incarnation == to) else {
                continue;
            };
            if self.vms[vm].paused {
                self.vms[vm].inbox.push((from, message));
            } else {
                self.feed(vm, Input::Peer { from, message });
            }
        }
    }

    fn tick_due(&mut self) {
        for vm in 0..VM_COUNT {
            let state = &mut self.vms[vm];
            let due = state.pool.next_wake().is_some_and(|wake| wake <= self.now);
            if state.paused || !due || self.now < state.last_tick + MIN_TICK_INTERVAL {
                continue;
            }
            state.last_tick = self.now;
            let mut out = Vec::new();
            state.pool.tick(self.now, &mut out);
            self.apply_outputs(vm, out);
        }
    }

    /// Removes all faults, ends all dispatches for some time and checks that every call ends.
    pub fn finish(&mut self) {
        self.network = NetworkFaults::default();
        self.cut_links.clear();
        for vm in 0..VM_COUNT {
            self.unpause(vm);
            self.update_members(vm);
        }
        let end = self.now + FINISH_DURATION;
        while self.now < end {
            for (vm, dispatch) in self.reachable_dispatches() {
                let emitted = self.oracle.records[&dispatch.call].emitted;
                self.finish_dispatch(vm, Ending::Answer.to_ended(&dispatch, emitted));
            }
            self.wait(ROUND_INTERVAL);
        }
        self.oracle.check_all_ended(self.now);
    }

    /// Number of calls that the pools still hold.
    pub fn held_calls(&self) -> usize {
        let held = |vm: &Vm| {
            let status = vm.pool.status();
            status.local + status.foreign + status.queued + status.in_flight
        };
        self.vms.iter().map(held).sum()
    }
}
