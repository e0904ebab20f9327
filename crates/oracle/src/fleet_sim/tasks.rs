//! What a VM does with the platform: its entry, the configuration and the endpoints.

use super::{
    FleetSim, Task,
    platform::{Call, Reply},
};
use core::time::Duration;
use poplarswitch_ingress::{RegistrarStep, SourceSelector, entry_peers};
use rand::Rng as _;

/// Wait of a watch on the configuration.
const SET_WAIT: Duration = Duration::from_millis(800);
/// Wait of a watch on the endpoints.
const ENDPOINTS_WAIT: Duration = Duration::from_secs(2);
/// Interval between checks whether a VM should read the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time between two steps of a registrar.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed call of the registrar.
const RETRY_DELAY: Duration = Duration::from_secs(2);

impl FleetSim {
    /// Continues a task.
    pub(super) fn step(&mut self, vm: usize, task: Task) {
        match task {
            Task::Registry => self.step_registry(vm),
            Task::Set => self.step_set(vm),
            Task::Endpoints => self.step_endpoints(vm),
            Task::Feed => self.step_feed(vm),
        }
    }

    /// Takes the platform's reply to a task.
    pub(super) fn take_reply(&mut self, vm: usize, task: Task, reply: Reply) {
        match (task, reply) {
            (task, Reply::Refused) => self.fail(vm, task),
            (Task::Registry, reply) => self.take_registry_reply(vm, reply),
            (Task::Set, Reply::Set(version)) => self.take_set(vm, version),
            (Task::Endpoints, Reply::Endpoints(more)) => self.take_endpoints(vm, more),
            (Task::Set | Task::Endpoints | Task::Feed, _) => {}
        }
    }

    /// Retries a failed call later.
    fn fail(&mut self, vm: usize, task: Task) {
        let state = &mut self.vms[vm];
        if task != Task::Registry {
            let had_failed = core::mem::replace(&mut state.platform_failed, true);
            if !had_failed {
                self.notify(vm);
            }
        }
        if task == Task::Registry {
            self.vms[vm].registrar.hurry(self.now);
            return self.wait(vm, task, RETRY_DELAY, false);
        }
        let (now, draw) = (self.now, self.rng.next_u64());
        let age = self.view_age(vm);
        let state = &mut self.vms[vm];
        let rank = state.sources.rank(now, &state.membership, age);
        let longest = SourceSelector::max_backoff(rank);
        state.backoff.record_failure(now, rank, longest, draw);
        self.step(vm, task);
    }

    fn succeed(&mut self, vm: usize, task: Task) {
        if task != Task::Registry {
            self.vms[vm].backoff.record_success(self.now);
            self.vms[vm].platform_failed = false;
        }
    }

    fn step_registry(&mut self, vm: usize) {
        let is_reader = self.reads_platform(vm);
        let now = self.now;
        let state = &mut self.vms[vm];
        match state.registrar.step(now, &state.membership, is_reader) {
            RegistrarStep::List => {
                state.listed.clear();
                self.call(vm, Task::Registry, Call::ListVms(0));
            }
            RegistrarStep::Write => {
                state.peers = entry_peers(now, &state.membership);
                self.call(vm, Task::Registry, Call::AddVm);
            }
            RegistrarStep::Remove => self.call(vm, Task::Registry, Call::RemoveVm),
            RegistrarStep::Wait(until) => {
                let wait = until.since(now).min(MAX_WAIT);
                self.wait(vm, Task::Registry, wait, false);
            }
        }
    }

    fn take_registry_reply(&mut self, vm: usize, reply: Reply) {
        self.succeed(vm, Task::Registry);
        let now = self.now;
        match reply {
            Reply::Vms(page, Some(next)) => {
                self.vms[vm].listed.extend(page);
                return self.call(vm, Task::Registry, Call::ListVms(next));
            }
            Reply::Vms(page, None) => {
                let state = &mut self.vms[vm];
                state.listed.extend(page);
                for entry in &state.listed {
                    let dc_index = entry.data_centre.parse().ok();
                    for ip in entry.peers.iter().chain([&entry.ip]) {
                        state.membership.add_member(*ip, dc_index);
                    }
                }
                let had_started = state.registrar.has_started();
                state.registrar.record_list(now, &state.listed);
                if state.registrar.has_started() && !had_started {
                    state.sources.mark_listed(state.registrar.is_named());
                    self.notify(vm);
                }
            }
            Reply::Done(Call::RemoveVm) => self.vms[vm].registrar.record_removal(),
            Reply::Done(_) => {
                let state = &mut self.vms[vm];
                state.registrar.record_write(&state.peers);
            }
            _ => {}
        }
        self.step_registry(vm);
    }

    fn step_set(&mut self, vm: usize) {
        if !self.reads_platform(vm) {
            let state = &mut self.vms[vm];
            state.platform_failed = false;
            return self.wait(vm, Task::Set, POLL_INTERVAL, true);
        }
        let wait = self.vms[vm].backoff.due().since(self.now);
        if !wait.is_zero() {
            return self.wait(vm, Task::Set, wait, false);
        }
        let state = &self.vms[vm];
        let call = if state.version > 0 {
            Call::WatchSet(state.version, SET_WAIT)
        } else {
            Call::ReadSet
        };
        self.vms[vm].asked_at.insert(Task::Set, self.now);
        self.call(vm, Task::Set, call);
    }

    fn take_set(&mut self, vm: usize, version: u64) {
        self.succeed(vm, Task::Set);
        let state = &mut self.vms[vm];
        let sent = state.asked_at.get(&Task::Set).copied();
        if state.watches_endpoints {
            state.endpoints_confirmed = state.endpoints_confirmed.max(sent);
        }
        state.config_confirmed = state.config_confirmed.max(sent);
        self.apply_version(vm, version);
        self.notify(vm);
        self.step_set(vm);
    }

    fn step_endpoints(&mut self, vm: usize) {
        if !self.reads_platform(vm) {
            self.vms[vm].watches_endpoints = false;
            self.vms[vm].next_page = None;
            return self.wait(vm, Task::Endpoints, POLL_INTERVAL, true);
        }
        let (age, state) = (self.view_age(vm), &self.vms[vm]);
        if state.sources.awaits_platform(self.now, age, &state.backoff) {
            return self.wait(vm, Task::Endpoints, POLL_INTERVAL, true);
        }
        let state = &mut self.vms[vm];
        let call = match state.next_page {
            None if state.endpoints_confirmed.is_some() => {
                state.watches_endpoints = true;
                Call::WatchEndpoints(ENDPOINTS_WAIT)
            }
            page => {
                let page = page.unwrap_or(0);
                if page == 0 {
                    state.asked_at.insert(Task::Endpoints, self.now);
                }
                Call::ListEndpoints(page)
            }
        };
        if matches!(call, Call::WatchEndpoints(_)) {
            self.vms[vm].asked_at.insert(Task::Endpoints, self.now);
        }
        self.call(vm, Task::Endpoints, call);
    }

    fn take_endpoints(&mut self, vm: usize, more: Option<usize>) {
        self.succeed(vm, Task::Endpoints);
        let state = &mut self.vms[vm];
        state.watches_endpoints = false;
        state.next_page = more;
        if more.is_none() {
            let sent = state.asked_at.get(&Task::Endpoints).copied();
            state.endpoints_confirmed = state.endpoints_confirmed.max(sent);
            self.notify(vm);
        }
        self.step_endpoints(vm);
    }
}
