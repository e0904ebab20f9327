//! How time passes in a cell, and how a case ends.

use crate::{
    calls::Ending,
    cell::{Cell, Net, VMS, Vm},
};
use core::time::Duration;
use poplarswitch_entity::Time;
use poplarswitch_pool::Input;

/// Time after which every wait must have ended.
const LONG: Duration = Duration::from_mins(1);
/// Time between two rounds of ends.
const ROUND: Duration = Duration::from_secs(1);
/// Shortest time between two looks at one clock.
const TICK: Duration = Duration::from_micros(100);

impl Cell {
    pub(crate) fn wait(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.next_event().filter(|next| *next <= end) {
            self.now = next.max(self.now);
            self.carry();
            self.look();
        }
        self.now = end;
    }

    fn next_event(&self) -> Option<Time> {
        let wire = self.wire.first_key_value().map(|((at, _), _)| *at);
        let awake = self.vms.iter().filter(|vm| !vm.paused);
        let wake = |vm: &Vm| Some(vm.pool.next_wake()?.max(vm.looked + TICK));
        awake.filter_map(wake).chain(wire).min()
    }

    fn carry(&mut self) {
        while let Some(entry) = self.wire.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            let Some(vm) = self.vms.iter().position(|vm| vm.id == to) else {
                continue;
            };
            if self.vms[vm].paused {
                self.vms[vm].inbox.push((from, message));
            } else {
                self.feed(vm, Input::Peer { from, message });
            }
        }
    }

    fn look(&mut self) {
        for vm in 0..VMS {
            let state = &mut self.vms[vm];
            let due = state.pool.next_wake().is_some_and(|wake| wake <= self.now);
            if state.paused || !due || self.now < state.looked + TICK {
                continue;
            }
            state.looked = self.now;
            let mut out = Vec::new();
            state.pool.tick(self.now, &mut out);
            self.obey(vm, out);
        }
    }

    /// Heals everything, ends everything and checks that nothing is left.
    pub fn finish(&mut self) {
        self.net = Net::default();
        self.cuts.clear();
        for vm in 0..VMS {
            self.wake(vm);
            self.show_members(vm);
        }
        let end = self.now + LONG;
        while self.now < end {
            for (vm, dispatch) in self.heard() {
                let emitted = self.judge.records[&dispatch.call].emitted;
                self.conclude(vm, Ending::Answer.of(&dispatch, emitted));
            }
            self.wait(ROUND);
        }
        self.judge.check_all_over(self.now);
    }

    /// Calls that the pools still hold.
    pub fn held(&self) -> usize {
        let held = |vm: &Vm| {
            let status = vm.pool.status();
            status.local + status.foreign + status.queued + status.in_flight
        };
        self.vms.iter().map(held).sum()
    }
}
