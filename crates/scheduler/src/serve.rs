//! Gives free slots to waiting calls.

use crate::call::{Call, Flight, State};
use crate::group::{GroupKey, LaneInfo, Order};
use crate::{Dispatch, Output, Scheduler};
use core::time::Duration;
use poplarswitch_balance::{CapKey, EndpointKey, Requirements, ViewKey};
use poplarswitch_catalog::Route;
use poplarswitch_entity::{PrefixHash, Time};
use poplarswitch_queue::{CallKey, Pick};

/// Slot time charged for a call of a class without any finished call.
const NEUTRAL_USAGE: Duration = Duration::from_secs(1);

/// The call that goes next, and what its tier allows.
#[derive(Clone, Copy, Debug)]
struct Next {
    call: CallKey,
    /// How the full policy picked it.
    pick: Option<Pick>,
}

impl Scheduler {
    /// Serves all routes whose calls may be able to go.
    pub(crate) fn serve(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(group) = self.dirty.pop() {
            self.serve_group(now, group, out);
        }
    }

    fn serve_group(&mut self, now: Time, group: GroupKey, out: &mut Vec<Output>) {
        while let Some(next) = self.next(now, group) {
            let Some(site) = self.choose(&next) else {
                return;
            };
            self.dispatch(now, next, site, out);
        }
    }

    fn next(&mut self, now: Time, key: GroupKey) -> Option<Next> {
        let group = &mut self.groups[key];
        let (balancer, accounts) = (&self.balancer, &self.book.accounts);
        let (pool, lowest) = (group.pool, group.lowest());
        if group.order.len() == 0 || !balancer.has_room(pool, ViewKey::ALL, false) {
            return None;
        }
        match &mut group.order {
            Order::Arrival(calls) => calls.first().map(|(_, place, _)| Next {
                call: place.call,
                pick: None,
            }),
            Order::Full(queue) => {
                let lanes = &group.lanes;
                let is_open = |index: usize, due| {
                    let info = &lanes[index];
                    balancer.has_room(pool, view_of(info, due), info.cautious(lowest))
                };
                let pick = queue.pick(
                    now,
                    |lane, due| is_open(lane.index(), due),
                    |account, tier| accounts[account].can_run(tier),
                )?;
                Some(Next {
                    call: pick.call,
                    pick: Some(pick),
                })
            }
        }
    }

    fn choose(&mut self, next: &Next) -> Option<EndpointKey> {
        let call = self.table.get(next.call);
        let group = &self.groups[call.group];
        let due = next.pick.is_some_and(|pick| pick.due);
        let ask = Requirements {
            view: view_of(&group.lanes[call.lane], due),
            prefix: prefix_of(call),
            data_centre: &call.request.data_centre,
            avoid: call.avoid,
            avoid_probation: group.lanes[call.lane].cautious(group.lowest()),
        };
        self.balancer.choose(group.pool, &ask)
    }

    fn dispatch(&mut self, now: Time, next: Next, site: EndpointKey, out: &mut Vec<Output>) {
        let charged = self.charge(next.call);
        match next.pick {
            Some(pick) => {
                self.counters.floored += u64::from(pick.due);
                let group = &mut self.groups[self.table.get(next.call).group];
                if let Order::Full(queue) = &mut group.order {
                    queue.take(&pick, charged);
                }
                self.left_queue(next.call);
            }
            None => self.dequeue(next.call),
        }
        let call = self.table.get(next.call);
        let group = &mut self.groups[call.group];
        if call.attempt.0 == 0 {
            group.budget.earn();
        }
        let info = &group.lanes[call.lane];
        let flight = Flight {
            site: Some(site),
            caps: caps_of(info, group.reserve.cap),
            started: now,
            seen: None,
            paced: false,
            resumed_at: 0,
            tokens: 0,
            measured: true,
            stopping: None,
            charged,
        };
        self.launch(now, next.call, flight, out);
    }

    /// Sends a call to an endpoint whose slot it takes.
    pub(crate) fn launch(
        &mut self,
        now: Time,
        key: CallKey,
        flight: Flight,
        out: &mut Vec<Output>,
    ) {
        let Some(site) = flight.site else {
            return;
        };
        let call = self.table.get(key);
        self.balancer
            .begin(now, site, &flight.caps, prefix_of(call));
        let Some(target) = self.balancer.endpoint(site) else {
            return;
        };
        self.counters.dispatched += 1;
        out.push(Output::Dispatch(Dispatch {
            call: call.request.call,
            endpoint: target.name.clone(),
            attempt: call.attempt,
            mode: Call::mode(flight.resumed_at),
        }));
        self.count_running(key);
        self.table.set_state(key, State::Dispatched(flight));
    }

    /// Counts a call that starts to run.
    pub(crate) fn count_running(&mut self, key: CallKey) {
        let call = self.table.get(key);
        self.book.accounts[call.account].add_running(call.terms.tier);
    }

    /// Slot time that a call's workspace pays in advance.
    fn charge(&self, key: CallKey) -> u64 {
        let profile = &self.book.profiles[self.table.get(key).profile];
        let usage = profile.duration_mean().unwrap_or(NEUTRAL_USAGE);
        usage.as_micros() as u64
    }
}

/// The sites that a lane may use; a tier that is due need not leave the reserve alone.
fn view_of(info: &LaneInfo, due: bool) -> ViewKey {
    match info.reserved {
        Some(reserved) if !due => reserved,
        _ => info.own,
    }
}

fn caps_of(info: &LaneInfo, reserve: CapKey) -> Vec<CapKey> {
    let reserve = info.reserved.is_some().then_some(reserve);
    let own = info.cap.into_iter().chain(info.guard);
    own.chain(reserve).collect()
}

/// The prefix that a call shares with others; plain services have none.
pub(crate) const fn prefix_of(call: &Call) -> Option<PrefixHash> {
    match call.request.route {
        Route::Model(_) => Some(call.request.prefix),
        Route::Service(_) => None,
    }
}
