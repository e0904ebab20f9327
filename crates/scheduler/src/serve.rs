//! Dispatches queued calls to endpoints with free slots.

use crate::call::{ActiveDispatch, Call, State};
use crate::route_state::{CallQueue, LaneInfo, RouteStateKey};
use crate::{Dispatch, Output, Scheduler};
use core::time::Duration;
use poplarswitch_balance::{CapKey, EndpointKey, Requirements, ViewKey};
use poplarswitch_catalog::Route;
use poplarswitch_entity::{PrefixHash, Time};
use poplarswitch_queue::{CallKey, Pick};

/// Slot time charged for a call whose class has no answered call on the route yet.
const DEFAULT_SLOT_TIME: Duration = Duration::from_secs(1);

/// The call to be dispatched next.
#[derive(Clone, Copy, Debug)]
struct NextCall {
    call: CallKey,
    /// The queue's choice under the full policy; `None` under the baseline policies.
    pick: Option<Pick>,
}

impl Scheduler {
    /// Serves all routes that are marked as dirty.
    pub(crate) fn serve(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(key) = self.dirty.pop() {
            self.serve_route(now, key, out);
        }
    }

    fn serve_route(&mut self, now: Time, key: RouteStateKey, out: &mut Vec<Output>) {
        while let Some(next) = self.next_call(now, key) {
            let Some(endpoint) = self.choose(&next) else {
                return;
            };
            self.dispatch(now, next, endpoint, out);
        }
    }

    fn next_call(&mut self, now: Time, key: RouteStateKey) -> Option<NextCall> {
        let route_state = &mut self.route_states[key];
        let (balancer, accounts) = (&self.balancer, &self.registry.accounts);
        let (pool, lowest) = (route_state.pool, route_state.lowest_tier());
        if route_state.queue.len() == 0 || !balancer.has_room(pool, ViewKey::ALL, false) {
            return None;
        }
        match &mut route_state.queue {
            CallQueue::Arrival(calls) => calls.first().map(|(_, position, _)| NextCall {
                call: position.call,
                pick: None,
            }),
            CallQueue::Full(queue) => {
                let lanes = &route_state.lanes;
                let is_open = |index: usize, due| {
                    let info = &lanes[index];
                    balancer.has_room(pool, view_of(info, due), info.avoids_probation(lowest))
                };
                let pick = queue.pick(
                    now,
                    |lane, due| is_open(lane.index(), due),
                    |account, tier| accounts[account].can_run(tier),
                )?;
                Some(NextCall {
                    call: pick.call,
                    pick: Some(pick),
                })
            }
        }
    }

    fn choose(&mut self, next: &NextCall) -> Option<EndpointKey> {
        let call = self.table.get(next.call);
        let route_state = &self.route_states[call.route_key];
        let due = next.pick.is_some_and(|pick| pick.due);
        let requirements = Requirements {
            view: view_of(&route_state.lanes[call.lane], due),
            prefix: prefix_of(call),
            data_centre: &call.request.data_centre,
            avoid: call.avoid,
            avoid_probation: route_state.lanes[call.lane]
                .avoids_probation(route_state.lowest_tier()),
        };
        self.balancer.choose(route_state.pool, &requirements)
    }

    fn dispatch(
        &mut self,
        now: Time,
        next: NextCall,
        endpoint: EndpointKey,
        out: &mut Vec<Output>,
    ) {
        let charged = self.slot_charge(next.call);
        match next.pick {
            Some(pick) => {
                self.counters.by_floor += u64::from(pick.due);
                let route_state = &mut self.route_states[self.table.get(next.call).route_key];
                if let CallQueue::Full(queue) = &mut route_state.queue {
                    queue.take(&pick, charged);
                }
                self.uncount_queued(next.call);
            }
            None => self.dequeue(next.call),
        }
        let call = self.table.get(next.call);
        let route_state = &mut self.route_states[call.route_key];
        if call.attempt.0 == 0 {
            route_state.budget.deposit();
        }
        let info = &route_state.lanes[call.lane];
        let active = ActiveDispatch {
            endpoint: Some(endpoint),
            caps: caps_of(info, route_state.reserve.cap),
            started: now,
            last_sample: None,
            sampled: false,
            resume_offset: 0,
            tokens: 0,
            start_known: true,
            stopping: None,
            charged,
        };
        self.start_dispatch(now, next.call, active, out);
    }

    /// Takes a slot of the dispatch's endpoint and outputs the dispatch.
    pub(crate) fn start_dispatch(
        &mut self,
        now: Time,
        key: CallKey,
        active: ActiveDispatch,
        out: &mut Vec<Output>,
    ) {
        let Some(endpoint) = active.endpoint else {
            return;
        };
        let call = self.table.get(key);
        self.balancer
            .begin(now, endpoint, &active.caps, prefix_of(call));
        let Some(target) = self.balancer.endpoint(endpoint) else {
            return;
        };
        self.counters.dispatched += 1;
        out.push(Output::Dispatch(Dispatch {
            call: call.request.call,
            endpoint: target.name.clone(),
            attempt: call.attempt,
            mode: Call::mode(active.resume_offset),
        }));
        self.count_running(key);
        self.table.set_state(key, State::Dispatched(active));
    }

    /// Counts a running call towards its workspace's limits.
    pub(crate) fn count_running(&mut self, key: CallKey) {
        let call = self.table.get(key);
        self.registry.accounts[call.account].add_running(call.params.tier);
    }

    /// Slot time in microseconds that a call's workspace is charged at dispatch.
    fn slot_charge(&self, key: CallKey) -> u64 {
        let profile = &self.registry.profiles[self.table.get(key).profile];
        let slot_time = profile.duration_mean().unwrap_or(DEFAULT_SLOT_TIME);
        slot_time.as_micros() as u64
    }
}

/// The endpoints that a lane may use. A tier that is due by its floor may use the reserve.
fn view_of(info: &LaneInfo, due: bool) -> ViewKey {
    match info.reserve_view {
        Some(view) if !due => view,
        _ => info.view,
    }
}

fn caps_of(info: &LaneInfo, reserve: CapKey) -> Vec<CapKey> {
    let reserve = info.reserve_view.is_some().then_some(reserve);
    let caps = info.class_cap.into_iter().chain(info.fixed_cap);
    caps.chain(reserve).collect()
}

/// The prompt prefix for cache affinity; calls of services have none.
pub(crate) const fn prefix_of(call: &Call) -> Option<PrefixHash> {
    match call.request.route {
        Route::Model(_) => Some(call.request.prefix),
        Route::Service(_) => None,
    }
}
