//! Handles progress, ends and cancellations of calls.
//!
//! An input that refers to an unknown call, or to a dispatch that is not the current one, is
//! dropped and counted as stale. It is late or a duplicate; the call has ended or has been
//! dispatched again since.

use crate::call::{ActiveDispatch, State};
use crate::measure::MIN_SAMPLE_TOKENS;
use crate::route_state::CallQueue;
use crate::{End, Ended, Output, Progress, Scheduler, Stop, StopReason};
use poplarswitch_entity::{Attempt, CallId, Time};
use poplarswitch_queue::{AccountKey, CallKey};

impl Scheduler {
    pub(crate) fn progress(&mut self, now: Time, progress: Progress) {
        let Some(key) = self.find_running(progress.call, progress.attempt) else {
            self.counters.stale += 1;
            return;
        };
        let State::Dispatched(active) = &mut self.table.get_mut(key).state else {
            return;
        };
        let is_first = active.last_sample.is_none() && progress.tokens > active.resume_offset;
        active.tokens = active.tokens.max(progress.tokens);
        if is_first {
            active.last_sample = Some((now, progress.tokens));
            self.measure_first_output(now, key);
        } else {
            self.measure_time_per_token(now, key, MIN_SAMPLE_TOKENS);
        }
    }

    pub(crate) fn ended(&mut self, now: Time, ended: Ended, out: &mut Vec<Output>) {
        let Some(key) = self.find_running(ended.call, ended.attempt) else {
            self.counters.stale += 1;
            return;
        };
        if let End::Answered { tokens } = ended.end {
            self.measure_answer(now, key, tokens);
        }
        let Some(active) = self.release_dispatch(now, key) else {
            return;
        };
        let cancelled = active.stopping == Some(StopReason::Cancelled);
        match ended.end {
            End::Answered { .. } => {
                self.counters.answered += 1;
                self.table.remove(key);
            }
            End::Stopped { .. } => self.remove_cancelled(key),
            End::Failed { fault, emitted } => {
                self.report_fault(now, &active, fault);
                if cancelled {
                    self.remove_cancelled(key);
                } else {
                    self.handle_fault(now, key, &active, fault, emitted, out);
                }
            }
        }
    }

    pub(crate) fn cancel(&mut self, now: Time, call: CallId, out: &mut Vec<Output>) {
        let Some(key) = self.table.find(call) else {
            self.counters.stale += 1;
            return;
        };
        match self.table.get(key).state {
            State::Queued(_) => {
                self.dequeue(key);
                self.remove_cancelled(key);
            }
            State::Dispatched(_) => self.stop(now, key, StopReason::Cancelled, out),
        }
    }

    /// Outputs a stop for a running call, unless one was output before.
    pub(crate) fn stop(
        &mut self,
        _now: Time,
        key: CallKey,
        reason: StopReason,
        out: &mut Vec<Output>,
    ) {
        let call = self.table.get_mut(key);
        let State::Dispatched(active) = &mut call.state else {
            return;
        };
        let stopping = active.stopping.replace(reason);
        if stopping.is_none() {
            out.push(Output::Stop(Stop {
                call: call.request.call,
                attempt: call.attempt,
                reason,
            }));
        }
    }

    /// Removes a call whose caller disconnected.
    fn remove_cancelled(&mut self, key: CallKey) {
        self.counters.cancelled += 1;
        self.table.remove(key);
    }

    fn find_running(&self, call: CallId, attempt: Attempt) -> Option<CallKey> {
        let key = self.table.find(call)?;
        let call = self.table.get(key);
        let running = matches!(call.state, State::Dispatched(_));
        (running && call.attempt == attempt).then_some(key)
    }

    /// Releases the slot and the counts that a dispatch held. The call stays in the table.
    fn release_dispatch(&mut self, now: Time, key: CallKey) -> Option<ActiveDispatch> {
        let call = self.table.get(key);
        let State::Dispatched(active) = &call.state else {
            return None;
        };
        let active = active.clone();
        if let Some(endpoint) = active.endpoint {
            let pool = self.balancer.end(now, endpoint, &active.caps);
            self.dirty
                .extend(pool.and_then(|pool| self.pool_routes.get(pool).copied()));
        }
        let call = self.table.get(key);
        let (route_key, account, tier) = (call.route_key, call.account, call.params.tier);
        let route_state = &mut self.route_states[route_key];
        if let CallQueue::Full(queue) = &mut route_state.queue {
            let used = now.since(active.started).as_micros() as u64;
            let lane = route_state.lanes[call.lane].lane;
            queue.correct_charge(lane, account, active.charged, used);
        }
        self.dirty.push(route_key);
        let lowest = self.registry.tiers() - 1;
        let workspace = &mut self.registry.accounts[account];
        let was_full = !workspace.can_run(lowest);
        workspace.remove_running(tier);
        if was_full {
            self.unblock(account);
        }
        Some(active)
    }

    /// Makes all routes serve a workspace again that was at its limit of running calls.
    pub(crate) fn unblock(&mut self, account: AccountKey) {
        for (key, route_state) in &mut self.route_states {
            if let CallQueue::Full(queue) = &mut route_state.queue {
                queue.unblock(account);
                self.dirty.push(key);
            }
        }
    }
}
