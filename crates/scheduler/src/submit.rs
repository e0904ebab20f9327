//! Admits calls, or refuses them before they use a slot.
//!
//! All checks take only the demand of the call's own tier and of higher tiers into account, so
//! an overload of lower-tier calls never causes a refusal in a higher tier.

use crate::call::{AttemptCounts, Call, ClassParams, ClassStateKey, State};
use crate::route_state::{CallQueue, LaneInfo, RouteStateKey};
use crate::{Output, Policy, RefusalReason, Request, Scheduler};
use core::time::Duration;
use poplarswitch_balance::{Cap, CapKey};
use poplarswitch_catalog::ClassKey;
use poplarswitch_entity::{AdapterName, Attempt, Time};
use poplarswitch_estimate::Meter;
use poplarswitch_objects::Target;
use poplarswitch_queue::{AccountKey, CallKey, LaneKey, Position, QueuedCall};

/// Retry time reported when there is no estimate.
pub(crate) const DEFAULT_RETRY_TIME: Duration = Duration::from_secs(1);

/// The route state, lane, account and class that a call belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Assignment {
    pub route_key: RouteStateKey,
    pub lane: usize,
    pub account: AccountKey,
    pub class_key: ClassStateKey,
    pub params: ClassParams,
}

impl Scheduler {
    pub(crate) fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        self.counters.submitted += 1;
        if self.table.find(request.call).is_some() {
            self.counters.duplicates += 1;
            return;
        }
        let Some(assignment) = self.assign(now, &request) else {
            return self.refuse(
                request.call,
                RefusalReason::Unknown,
                DEFAULT_RETRY_TIME,
                out,
            );
        };
        if let Err((reason, retry_after)) = self.admit(now, &request, &assignment) {
            return self.refuse(request.call, reason, retry_after, out);
        }
        let key = self.add(now, request, assignment);
        self.enqueue(now, key);
    }

    /// Resolves a call's class, workspace and route; `None` if the set in force lacks one.
    pub(crate) fn assign(&mut self, now: Time, request: &Request) -> Option<Assignment> {
        let class = self.catalog.class(request.class.as_str())?;
        self.catalog.workspace(request.workspace.as_str())?;
        self.catalog.route(&request.route)?;
        let route_key = *self.route_keys.get(&request.route)?;
        let class_key = self.registry.class_state(&request.class);
        let params = self.class_params(class);
        let lane = self.lane(route_key, class_key, &params, request.adapter.as_ref());
        Some(Assignment {
            route_key,
            lane,
            account: self.registry.account(now, &request.workspace),
            class_key,
            params,
        })
    }

    fn class_params(&self, class: ClassKey) -> ClassParams {
        let entry = &self.catalog.classes[class];
        let order = &self.catalog.tier_order;
        let tier = order.iter().position(|tier| *tier == entry.tier);
        ClassParams::new(&entry.class, tier.unwrap_or_default())
    }

    /// The index of the lane of a class with an adapter; adds the lane if it is new.
    pub(crate) fn lane(
        &mut self,
        key: RouteStateKey,
        class_key: ClassStateKey,
        params: &ClassParams,
        adapter: Option<&AdapterName>,
    ) -> usize {
        let id = (class_key, adapter.cloned());
        if let Some(lane) = self.route_states[key].index.get(&id) {
            return *lane;
        }
        let profile = self.registry.profile(key, class_key);
        let class_cap = self.class_cap(key, class_key);
        let fixed_cap = self.fixed_reserve_cap(key, params.tier);
        let route_state = &mut self.route_states[key];
        let caps: Vec<_> = class_cap.into_iter().chain(fixed_cap).collect();
        let view = self.balancer.view(route_state.pool, &caps, adapter);
        let lane = match &mut route_state.queue {
            CallQueue::Arrival(_) => LaneKey::default(),
            CallQueue::Full(queue) => queue.add_lane(params.tier),
        };
        let info = LaneInfo::builder()
            .lane(lane)
            .tier(params.tier)
            .profile(profile)
            .maybe_adapter(adapter.cloned())
            .target(params.target.first_output())
            .arrivals(Meter::new(params.target.first_output()))
            .repeatable(params.repeatable)
            .servable(self.balancer.serves(route_state.pool, adapter))
            .maybe_class_cap(class_cap)
            .maybe_fixed_cap(fixed_cap)
            .view(view)
            .build();
        route_state.lanes.push(info);
        route_state.index.insert(id, route_state.lanes.len() - 1);
        route_state.lanes.len() - 1
    }

    /// The cap on the slots that a class may hold, if it has one.
    fn class_cap(&mut self, key: RouteStateKey, class_key: ClassStateKey) -> Option<CapKey> {
        let percent = u32::from(self.registry.class_states[class_key].slot_percent);
        if percent >= 100 || self.policy != Policy::Full {
            return None;
        }
        let route_state = &mut self.route_states[key];
        let balancer = &mut self.balancer;
        let cap = *route_state
            .class_caps
            .entry(class_key)
            .or_insert_with(|| balancer.add_cap(route_state.pool, Cap::Percent(percent)));
        balancer.set_cap(route_state.pool, cap, Cap::Percent(percent));
        Some(cap)
    }

    fn admit(
        &mut self,
        now: Time,
        request: &Request,
        assignment: &Assignment,
    ) -> Result<(), (RefusalReason, Duration)> {
        if !self.route_states[assignment.route_key].lanes[assignment.lane].servable {
            return Err((RefusalReason::NoEndpoint, DEFAULT_RETRY_TIME));
        }
        if request.waited >= assignment.params.max_wait {
            let retry_after = self.retry_time(now, assignment.route_key, assignment.lane);
            return Err((RefusalReason::WaitExpired, retry_after));
        }
        if self.policy != Policy::Full {
            return Ok(());
        }
        self.admit_by_limits(now, assignment)?;
        self.admit_by_load(now, request, assignment)
    }

    fn admit_by_limits(
        &mut self,
        now: Time,
        assignment: &Assignment,
    ) -> Result<(), (RefusalReason, Duration)> {
        let tier = assignment.params.tier;
        let class_state = self.registry.class_states[assignment.class_key];
        let account = &mut self.registry.accounts[assignment.account];
        if !account.can_queue(tier) || class_state.queued >= class_state.max_queued {
            let retry_after = self.retry_time(now, assignment.route_key, assignment.lane);
            return Err((RefusalReason::QueueFull, retry_after));
        }
        if !account.take_token(now, tier) {
            let retry_after = Duration::from_secs_f64(account.token_wait(tier));
            return Err((RefusalReason::RateLimit, retry_after));
        }
        Ok(())
    }

    fn admit_by_load(
        &mut self,
        now: Time,
        request: &Request,
        assignment: &Assignment,
    ) -> Result<(), (RefusalReason, Duration)> {
        let remaining = assignment.params.max_wait.saturating_sub(request.waited);
        if !self.tuning.admission || self.has_free_slot(assignment.route_key, assignment.lane) {
            return Ok(());
        }
        if self.expected_wait(now, assignment.route_key, assignment.lane) > remaining {
            let retry_after = self.retry_time(now, assignment.route_key, assignment.lane);
            return Err((RefusalReason::Overload, retry_after));
        }
        Ok(())
    }

    fn add(&mut self, now: Time, request: Request, assignment: Assignment) -> CallKey {
        let info = &self.route_states[assignment.route_key].lanes[assignment.lane];
        let call = Call {
            route_key: assignment.route_key,
            lane: assignment.lane,
            account: assignment.account,
            class_key: assignment.class_key,
            profile: info.profile,
            params: assignment.params,
            submitted: now,
            state: State::Queued(Position::default()),
            attempt: Attempt::default(),
            attempts: AttemptCounts::default(),
            avoid: None,
            request,
        };
        let slot_time = self.expected_slot_time(assignment.route_key, assignment.lane);
        let route_state = &mut self.route_states[assignment.route_key];
        route_state.demand[assignment.params.tier].add(now, slot_time.as_secs_f64());
        route_state.lanes[assignment.lane].record_arrival(now);
        self.table.insert(call)
    }

    /// Puts a call that is in the table into its route's queue.
    pub(crate) fn enqueue(&mut self, now: Time, key: CallKey) {
        let position = self.position(key);
        self.table.set_state(key, State::Queued(position));
        let call = self.table.get(key);
        let tier = call.params.tier;
        let account = &mut self.registry.accounts[call.account];
        account.add_queued(tier);
        self.registry.class_states[call.class_key].queued += 1;
        let route_state = &mut self.route_states[call.route_key];
        let info = &route_state.lanes[call.lane];
        let queued = QueuedCall {
            lane: info.lane,
            account: call.account,
            position,
        };
        route_state
            .queue
            .insert(ordering_tier(self.policy, tier), queued, account.weight());
        self.expiry.insert((call.expires(), key));
        self.dirty.push(call.route_key);
        self.update_reserve(now, call.route_key);
    }

    /// A call's position in the queue: by start deadline under the full policy, by arrival under
    /// the baseline policies.
    fn position(&mut self, key: CallKey) -> Position {
        self.arrivals += 1;
        let call = self.table.get(key);
        let deadline = match self.policy {
            Policy::Full => {
                let profile = &self.registry.profiles[call.profile];
                let expected = match call.params.target {
                    Target::Stream { .. } => profile.first_output_p95(),
                    Target::Answer { .. } => profile.duration_p95(),
                };
                let target = call.params.target.first_output();
                // The estimate is limited to half of the target, so that a class whose
                // calls usually miss their target isn't late from the start.
                let expected = expected.unwrap_or_default().min(target / 2);
                call.submitted + target - call.request.waited - expected
            }
            _ => call.submitted - call.request.waited,
        };
        Position {
            late: false,
            deadline,
            arrival: self.arrivals,
            call: key,
        }
    }

    /// Removes a call from its queue.
    pub(crate) fn dequeue(&mut self, key: CallKey) {
        let call = self.table.get(key);
        let State::Queued(position) = call.state else {
            return;
        };
        let route_state = &mut self.route_states[call.route_key];
        let queued = QueuedCall {
            lane: route_state.lanes[call.lane].lane,
            account: call.account,
            position,
        };
        route_state
            .queue
            .remove(ordering_tier(self.policy, call.params.tier), queued);
        self.uncount_queued(key);
    }

    /// Updates the counts and the expiry list for a call that left its queue.
    pub(crate) fn uncount_queued(&mut self, key: CallKey) {
        let call = self.table.get(key);
        self.registry.accounts[call.account].remove_queued(call.params.tier);
        let class_state = &mut self.registry.class_states[call.class_key];
        class_state.queued = class_state.queued.saturating_sub(1);
        self.expiry.remove(&(call.expires(), key));
    }
}

/// The tier that the policy orders a call by; 0 for all calls under the FIFO policies.
const fn ordering_tier(policy: Policy, tier: usize) -> usize {
    match policy {
        Policy::FifoRoundRobin | Policy::FifoLeastOutstanding => 0,
        Policy::StrictLeastOutstanding | Policy::Full => tier,
    }
}
