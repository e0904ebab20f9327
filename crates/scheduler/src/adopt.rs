//! Takes over calls that already run, when this scheduler becomes their home.

use crate::call::{Call, Flight, State, Terms, Tries};
use crate::submit::Seat;
use crate::{Output, Request, Running, Scheduler};
use core::time::Duration;
use poplarswitch_balance::EndpointKey;
use poplarswitch_entity::Time;
use poplarswitch_objects::Target;

impl Scheduler {
    pub(crate) fn adopt(&mut self, now: Time, running: Running, _out: &mut Vec<Output>) {
        if let Some(key) = self.table.find(running.request.call) {
            let waits = matches!(self.table.get(key).state, State::Queued(_));
            if !waits {
                self.counters.duplicates += 1;
                return;
            }
            // The VM that holds the caller knows best: the call runs.
            self.dequeue(key);
            self.table.remove(key);
        }
        let site = self.balancer.find(&running.endpoint);
        let Some(seat) = self.seat_running(now, &running.request, site) else {
            self.counters.stale += 1;
            return;
        };
        self.counters.adopted += 1;
        self.insert_running(now, running, seat, site);
    }

    /// The seat of a running call; one whose class is gone must not be repeated.
    pub(crate) fn seat_running(
        &mut self,
        now: Time,
        request: &Request,
        site: Option<EndpointKey>,
    ) -> Option<Seat> {
        if let Some(seat) = self.seat(now, request) {
            return Some(seat);
        }
        let by_route = self.routes.get(&request.route).copied();
        let by_site = || {
            let pool = self.balancer.pool_of(site?)?;
            self.pools.get(pool).copied()
        };
        let group = by_route.or_else(by_site)?;
        let kind = self.book.kind(&request.class);
        let terms = Terms {
            tier: self.book.tiers() - 1,
            repeatable: false,
            target: Target::Answer { answer_ms: 0 },
            max_wait: Duration::ZERO,
        };
        Some(Seat {
            group,
            lane: self.lane(group, kind, &terms, None),
            account: self.book.account(now, &request.workspace),
            kind,
            terms,
        })
    }

    fn insert_running(
        &mut self,
        now: Time,
        running: Running,
        seat: Seat,
        site: Option<EndpointKey>,
    ) {
        if let Some(site) = site {
            self.balancer.begin(now, site, &[], None);
        }
        let flight = Flight {
            site,
            caps: Vec::new(),
            started: now,
            seen: None,
            paced: false,
            resumed_at: 0,
            tokens: running.tokens,
            measured: false,
            stopping: None,
            charged: 0,
        };
        let call = Call {
            group: seat.group,
            lane: seat.lane,
            account: seat.account,
            kind: seat.kind,
            profile: self.groups[seat.group].lanes[seat.lane].profile,
            terms: seat.terms,
            submitted: now,
            state: State::Dispatched(flight),
            attempt: running.attempt,
            tries: Tries::default(),
            avoid: None,
            request: running.request,
        };
        let key = self.table.insert(call);
        self.count_running(key);
    }
}
