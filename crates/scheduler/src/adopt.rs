//! Takes over running calls when this scheduler becomes responsible for them.

use crate::call::{ActiveDispatch, AttemptCounts, Call, ClassParams, State};
use crate::submit::Assignment;
use crate::{Output, Request, Running, Scheduler};
use core::time::Duration;
use poplarswitch_balance::EndpointKey;
use poplarswitch_entity::Time;
use poplarswitch_objects::Target;

impl Scheduler {
    pub(crate) fn adopt(&mut self, now: Time, running: Running, _out: &mut Vec<Output>) {
        if let Some(key) = self.table.find(running.request.call) {
            let queued = matches!(self.table.get(key).state, State::Queued(_));
            if !queued {
                self.counters.duplicates += 1;
                return;
            }
            // The VM that holds the caller's connection reports that the call is running, so the
            // queued entry is out of date.
            self.dequeue(key);
            self.table.remove(key);
        }
        let endpoint = self.balancer.find(&running.endpoint);
        let Some(assignment) = self.assign_running(now, &running.request, endpoint) else {
            self.counters.stale += 1;
            return;
        };
        self.counters.adopted += 1;
        self.insert_running(now, running, assignment, endpoint);
    }

    /// Resolves a running call; `None` if neither its route nor its endpoint is known.
    ///
    /// A call whose class, workspace or route is not in the set is treated as non-repeatable, in
    /// the lowest tier.
    pub(crate) fn assign_running(
        &mut self,
        now: Time,
        request: &Request,
        endpoint: Option<EndpointKey>,
    ) -> Option<Assignment> {
        if let Some(assignment) = self.assign(now, request) {
            return Some(assignment);
        }
        let by_route = self.route_keys.get(&request.route).copied();
        let by_endpoint = || {
            let pool = self.balancer.pool_of(endpoint?)?;
            self.pool_routes.get(pool).copied()
        };
        let route_key = by_route.or_else(by_endpoint)?;
        let class_key = self.registry.class_state(&request.class);
        let params = ClassParams {
            tier: self.registry.tiers() - 1,
            repeatable: false,
            target: Target::Answer { answer_ms: 0 },
            max_wait: Duration::ZERO,
        };
        Some(Assignment {
            route_key,
            lane: self.lane(route_key, class_key, &params, None),
            account: self.registry.account(now, &request.workspace),
            class_key,
            params,
        })
    }

    fn insert_running(
        &mut self,
        now: Time,
        running: Running,
        assignment: Assignment,
        endpoint: Option<EndpointKey>,
    ) {
        if let Some(endpoint) = endpoint {
            self.balancer.begin(now, endpoint, &[], None);
        }
        let active = ActiveDispatch {
            endpoint,
            caps: Vec::new(),
            started: now,
            last_sample: None,
            sampled: false,
            resume_offset: 0,
            tokens: running.tokens,
            start_known: false,
            stopping: None,
            charged: 0,
        };
        let call = Call {
            route_key: assignment.route_key,
            lane: assignment.lane,
            account: assignment.account,
            class_key: assignment.class_key,
            profile: self.route_states[assignment.route_key].lanes[assignment.lane].profile,
            params: assignment.params,
            submitted: now,
            state: State::Dispatched(active),
            attempt: running.attempt,
            attempts: AttemptCounts::default(),
            avoid: None,
            request: running.request,
        };
        let key = self.table.insert(call);
        self.count_running(key);
    }
}
