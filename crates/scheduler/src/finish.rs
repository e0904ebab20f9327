//! Takes progress, ends and cancellations.
//!
//! An input about an unknown call, or about an attempt that is not the current one, is
//! dropped and counted: it is late or a duplicate, and the call has gone on without it.

use crate::call::{Flight, State};
use crate::group::Order;
use crate::learn::PACE_TOKENS;
use crate::{End, Ended, Output, Progress, Scheduler, Stop, StopReason};
use poplarswitch_entity::{Attempt, CallId, Time};
use poplarswitch_queue::{AccountKey, CallKey};

impl Scheduler {
    pub(crate) fn progress(&mut self, now: Time, progress: Progress) {
        let Some(key) = self.find_running(progress.call, progress.attempt) else {
            self.counters.stale += 1;
            return;
        };
        let State::Dispatched(flight) = &mut self.table.get_mut(key).state else {
            return;
        };
        let is_first = flight.seen.is_none() && progress.tokens > flight.resumed_at;
        flight.tokens = flight.tokens.max(progress.tokens);
        if is_first {
            flight.seen = Some((now, progress.tokens));
            self.learn_first(now, key);
        } else {
            self.learn_pace(now, key, PACE_TOKENS);
        }
    }

    pub(crate) fn ended(&mut self, now: Time, ended: Ended, out: &mut Vec<Output>) {
        let Some(key) = self.find_running(ended.call, ended.attempt) else {
            self.counters.stale += 1;
            return;
        };
        if let End::Answered { tokens } = ended.end {
            self.learn_answer(now, key, tokens);
        }
        let Some(flight) = self.land(now, key) else {
            return;
        };
        let cancelled = flight.stopping == Some(StopReason::Cancelled);
        match ended.end {
            End::Answered { .. } => {
                self.counters.answered += 1;
                self.table.remove(key);
            }
            End::Stopped { .. } => self.forget(key),
            End::Failed { fault, emitted } => {
                self.judge(now, &flight, fault);
                if cancelled {
                    self.forget(key);
                } else {
                    self.failed(now, key, &flight, fault, emitted, out);
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
                self.forget(key);
            }
            State::Dispatched(_) => self.stop(now, key, StopReason::Cancelled, out),
        }
    }

    /// Orders a running call to stop, once.
    pub(crate) fn stop(
        &mut self,
        _now: Time,
        key: CallKey,
        reason: StopReason,
        out: &mut Vec<Output>,
    ) {
        let call = self.table.get_mut(key);
        let State::Dispatched(flight) = &mut call.state else {
            return;
        };
        let stopping = flight.stopping.replace(reason);
        if stopping.is_none() {
            out.push(Output::Stop(Stop {
                call: call.request.call,
                attempt: call.attempt,
                reason,
            }));
        }
    }

    /// Drops a call whose caller has left.
    fn forget(&mut self, key: CallKey) {
        self.counters.cancelled += 1;
        self.table.remove(key);
    }

    fn find_running(&self, call: CallId, attempt: Attempt) -> Option<CallKey> {
        let key = self.table.find(call)?;
        let call = self.table.get(key);
        let running = matches!(call.state, State::Dispatched(_));
        (running && call.attempt == attempt).then_some(key)
    }

    /// Frees what a dispatch held; the call itself stays in the table.
    fn land(&mut self, now: Time, key: CallKey) -> Option<Flight> {
        let call = self.table.get(key);
        let State::Dispatched(flight) = &call.state else {
            return None;
        };
        let flight = flight.clone();
        if let Some(site) = flight.site {
            let pool = self.balancer.end(now, site, &flight.caps);
            self.dirty
                .extend(pool.and_then(|pool| self.pools.get(pool).copied()));
        }
        let call = self.table.get(key);
        let (group, account, tier) = (call.group, call.account, call.terms.tier);
        let state = &mut self.groups[group];
        if let Order::Full(queue) = &mut state.order {
            let used = now.since(flight.started).as_micros() as u64;
            let lane = state.lanes[call.lane].lane;
            queue.correct_charge(lane, account, flight.charged, used);
        }
        self.dirty.push(group);
        let lowest = self.book.tiers() - 1;
        let entry = &mut self.book.accounts[account];
        let was_full = !entry.can_run(lowest);
        entry.remove_running(tier);
        if was_full {
            self.release(account);
        }
        Some(flight)
    }

    /// Lets a workspace that was at its limit be served again, on all routes.
    pub(crate) fn release(&mut self, account: AccountKey) {
        for (key, group) in &mut self.groups {
            if let Order::Full(queue) = &mut group.order {
                queue.unblock(account);
                self.dirty.push(key);
            }
        }
    }
}
