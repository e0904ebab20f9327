//! Admits calls or refuses them before they cost anything.
//!
//! Every check of a call looks at the demand of its own tier and of higher tiers only, so
//! no flood of lower-tier work can cause a refusal above it.

use crate::call::{Call, KindKey, State, Terms, Tries};
use crate::group::{GroupKey, LaneInfo, Order};
use crate::{Output, Policy, RefusalReason, Request, Scheduler};
use core::time::Duration;
use poplarswitch_balance::{Cap, CapKey};
use poplarswitch_catalog::ClassKey;
use poplarswitch_entity::{AdapterName, Attempt, Time};
use poplarswitch_estimate::Meter;
use poplarswitch_objects::Target;
use poplarswitch_queue::{AccountKey, CallKey, LaneKey, Position, QueuedCall};

/// Retry time told when nothing better is known.
pub(crate) const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// A call's place in the scheduler's data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seat {
    pub group: GroupKey,
    pub lane: usize,
    pub account: AccountKey,
    pub kind: KindKey,
    pub terms: Terms,
}

impl Scheduler {
    pub(crate) fn submit(&mut self, now: Time, request: Request, out: &mut Vec<Output>) {
        self.counters.submitted += 1;
        if self.table.find(request.call).is_some() {
            self.counters.duplicates += 1;
            return;
        }
        let Some(seat) = self.seat(now, &request) else {
            return self.refuse(request.call, RefusalReason::Unknown, DEFAULT_RETRY, out);
        };
        if let Err((reason, after)) = self.admit(now, &request, &seat) {
            return self.refuse(request.call, reason, after, out);
        }
        let key = self.add(now, request, seat);
        self.enqueue(now, key);
    }

    /// Finds a call's class, workspace and route in the set in force.
    pub(crate) fn seat(&mut self, now: Time, request: &Request) -> Option<Seat> {
        let class = self.catalog.class(request.class.as_str())?;
        self.catalog.workspace(request.workspace.as_str())?;
        self.catalog.route(&request.route)?;
        let group = *self.routes.get(&request.route)?;
        let kind = self.book.kind(&request.class);
        let terms = self.terms(class);
        let lane = self.lane(group, kind, &terms, request.adapter.as_ref());
        Some(Seat {
            group,
            lane,
            account: self.book.account(now, &request.workspace),
            kind,
            terms,
        })
    }

    fn terms(&self, class: ClassKey) -> Terms {
        let entry = &self.catalog.classes[class];
        let order = &self.catalog.tier_order;
        let tier = order.iter().position(|tier| *tier == entry.tier);
        Terms::new(&entry.class, tier.unwrap_or_default())
    }

    /// The lane of a class with an adapter; made if it is new.
    pub(crate) fn lane(
        &mut self,
        key: GroupKey,
        kind: KindKey,
        terms: &Terms,
        adapter: Option<&AdapterName>,
    ) -> usize {
        let id = (kind, adapter.cloned());
        if let Some(lane) = self.groups[key].index.get(&id) {
            return *lane;
        }
        let profile = self.book.profile(key, kind);
        let cap = self.own_cap(key, kind);
        let guard = self.guard_cap(key, terms.tier);
        let group = &mut self.groups[key];
        let caps: Vec<_> = cap.into_iter().chain(guard).collect();
        let own = self.balancer.view(group.pool, &caps, adapter);
        let lane = match &mut group.order {
            Order::Arrival(_) => LaneKey::default(),
            Order::Full(queue) => queue.add_lane(terms.tier),
        };
        let info = LaneInfo::builder()
            .lane(lane)
            .tier(terms.tier)
            .profile(profile)
            .maybe_adapter(adapter.cloned())
            .target(terms.target.first_output())
            .arrivals(Meter::new(terms.target.first_output()))
            .repeatable(terms.repeatable)
            .served(self.balancer.serves(group.pool, adapter))
            .maybe_cap(cap)
            .maybe_guard(guard)
            .own(own)
            .build();
        group.lanes.push(info);
        group.index.insert(id, group.lanes.len() - 1);
        group.lanes.len() - 1
    }

    /// The bound on the slots that a class may hold, if it has one.
    fn own_cap(&mut self, key: GroupKey, kind: KindKey) -> Option<CapKey> {
        let percent = u32::from(self.book.kinds[kind].slot_percent);
        if percent >= 100 || self.policy != Policy::Full {
            return None;
        }
        let group = &mut self.groups[key];
        let balancer = &mut self.balancer;
        let cap = *group
            .caps
            .entry(kind)
            .or_insert_with(|| balancer.add_cap(group.pool, Cap::Percent(percent)));
        balancer.set_cap(group.pool, cap, Cap::Percent(percent));
        Some(cap)
    }

    fn admit(
        &mut self,
        now: Time,
        request: &Request,
        seat: &Seat,
    ) -> Result<(), (RefusalReason, Duration)> {
        if !self.groups[seat.group].lanes[seat.lane].served {
            return Err((RefusalReason::NoEndpoint, DEFAULT_RETRY));
        }
        if request.waited >= seat.terms.max_wait {
            let drain = self.retry_time(now, seat.group, seat.lane);
            return Err((RefusalReason::WaitExpired, drain));
        }
        if self.policy != Policy::Full {
            return Ok(());
        }
        self.admit_by_limits(now, seat)?;
        self.admit_by_load(now, request, seat)
    }

    fn admit_by_limits(&mut self, now: Time, seat: &Seat) -> Result<(), (RefusalReason, Duration)> {
        let tier = seat.terms.tier;
        let kind = self.book.kinds[seat.kind];
        let account = &mut self.book.accounts[seat.account];
        if !account.can_queue(tier) || kind.queued >= kind.max_queued {
            let drain = self.retry_time(now, seat.group, seat.lane);
            return Err((RefusalReason::QueueFull, drain));
        }
        if !account.take_token(now, tier) {
            let wait = Duration::from_secs_f64(account.token_wait(tier));
            return Err((RefusalReason::RateLimit, wait));
        }
        Ok(())
    }

    fn admit_by_load(
        &mut self,
        now: Time,
        request: &Request,
        seat: &Seat,
    ) -> Result<(), (RefusalReason, Duration)> {
        let left = seat.terms.max_wait.saturating_sub(request.waited);
        if !self.tuning.admission || self.has_slot(seat.group, seat.lane) {
            return Ok(());
        }
        if self.drain(now, seat.group, seat.lane) > left {
            let retry = self.retry_time(now, seat.group, seat.lane);
            return Err((RefusalReason::Overload, retry));
        }
        Ok(())
    }

    fn add(&mut self, now: Time, request: Request, seat: Seat) -> CallKey {
        let info = &self.groups[seat.group].lanes[seat.lane];
        let call = Call {
            group: seat.group,
            lane: seat.lane,
            account: seat.account,
            kind: seat.kind,
            profile: info.profile,
            terms: seat.terms,
            submitted: now,
            state: State::Queued(Position::default()),
            attempt: Attempt::default(),
            tries: Tries::default(),
            avoid: None,
            request,
        };
        let usage = self.usage(seat.group, seat.lane);
        let group = &mut self.groups[seat.group];
        group.demand[seat.terms.tier].add(now, usage.as_secs_f64());
        group.lanes[seat.lane].note_arrival(now);
        self.table.insert(call)
    }

    /// Puts a call of the table into its queue.
    pub(crate) fn enqueue(&mut self, now: Time, key: CallKey) {
        let position = self.place(key);
        self.table.set_state(key, State::Queued(position));
        let call = self.table.get(key);
        let tier = call.terms.tier;
        let account = &mut self.book.accounts[call.account];
        account.add_queued(tier);
        self.book.kinds[call.kind].queued += 1;
        let group = &mut self.groups[call.group];
        let info = &group.lanes[call.lane];
        let waiting = QueuedCall {
            lane: info.lane,
            account: call.account,
            position,
        };
        group
            .order
            .insert(rank(self.policy, tier), waiting, account.weight());
        self.expiry.insert((call.expires(), key));
        self.dirty.push(call.group);
        self.check_reserve(now, call.group);
    }

    /// A call's place: by slack, or by arrival under the baselines.
    fn place(&mut self, key: CallKey) -> Position {
        self.arrivals += 1;
        let call = self.table.get(key);
        let deadline = match self.policy {
            Policy::Full => {
                let profile = &self.book.profiles[call.profile];
                let expected = match call.terms.target {
                    Target::Stream { .. } => profile.first_output_p95(),
                    Target::Answer { .. } => profile.duration_p95(),
                };
                let target = call.terms.target.first_output();
                // An estimate beyond the target must not make every call late at once.
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

    /// Takes a call out of its queue.
    pub(crate) fn dequeue(&mut self, key: CallKey) {
        let call = self.table.get(key);
        let State::Queued(position) = call.state else {
            return;
        };
        let group = &mut self.groups[call.group];
        let waiting = QueuedCall {
            lane: group.lanes[call.lane].lane,
            account: call.account,
            position,
        };
        group
            .order
            .remove(rank(self.policy, call.terms.tier), waiting);
        self.left_queue(key);
    }

    /// Uncounts a call that no longer waits.
    pub(crate) fn left_queue(&mut self, key: CallKey) {
        let call = self.table.get(key);
        self.book.accounts[call.account].remove_queued(call.terms.tier);
        let kind = &mut self.book.kinds[call.kind];
        kind.queued = kind.queued.saturating_sub(1);
        self.expiry.remove(&(call.expires(), key));
    }
}

/// The tier as the baselines see it.
const fn rank(policy: Policy, tier: usize) -> usize {
    match policy {
        Policy::FifoRoundRobin | Policy::FifoLeastOutstanding => 0,
        Policy::StrictLeastOutstanding | Policy::Full => tier,
    }
}
