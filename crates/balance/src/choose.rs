//! The choice of an endpoint for one call.
//!
//! The least loaded endpoint sets the mark. An endpoint that probably holds the prompt's prefix may
//! be busier than the mark by the affinity allowance, an endpoint in the caller's data centre by
//! the nearness allowance. An endpoint on probation is given a call first, unless the call has
//! to be careful: because it may not run twice, or because lower tiers' calls can probe.
//! Such a call waits rather than probes, for as long as another endpoint is up and for a grace.

use crate::balancer::Strategy;
use crate::pool::Pool;
use crate::view::{Seat, ViewKey};
use crate::{Balancer, EndpointKey, PoolKey};
use poplarswitch_entity::{DataCentre, PrefixHash};
use rand::Rng;

/// Level by which an endpoint that holds the prefix may exceed the least loaded one.
const AFFINITY_ALLOWANCE: u32 = 19;
/// Level by which an endpoint in the caller's data centre may exceed the least loaded one.
const NEAR_ALLOWANCE: u32 = 8;

/// What a call needs from its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The endpoints that it may use.
    pub view: ViewKey,
    /// Hash of its workspace and prompt prefix, if it has a prompt.
    pub prefix: Option<PrefixHash>,
    /// Where its caller stands.
    pub data_centre: &'a DataCentre,
    /// An endpoint that has just failed it.
    pub avoid: Option<EndpointKey>,
    /// Whether it must keep away from endpoints on probation.
    pub avoid_probation: bool,
}

impl Balancer {
    /// Chooses an endpoint with a free slot.
    pub fn choose(&mut self, pool: PoolKey, needs: &Requirements<'_>) -> Option<EndpointKey> {
        let draw = self.random.next_u32();
        match self.options.strategy {
            Strategy::RoundRobin => self.choose_turn(pool, needs, draw),
            Strategy::LeastOutstanding => self.choose_least(pool, needs, draw),
            Strategy::Full => self.choose_full(pool, needs, draw),
        }
    }

    fn choose_turn(
        &mut self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let count = pool.endpoints.len();
        let index = (0..count)
            .map(|step| (pool.turn + step) % count)
            .find(|index| {
                let endpoint = pool.endpoints[*index];
                Some(endpoint) != needs.avoid && self.level(pool, endpoint, needs.view).is_some()
            });
        let Some(index) = index else {
            return self.choose_least(key, needs, draw);
        };
        let endpoint = pool.endpoints[index];
        self.pools[key].turn = index + 1;
        Some(endpoint)
    }

    fn choose_least(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let view = &pool.views[needs.view.0];
        let endpoint = |index: u32| pool.endpoints[index as usize];
        view.least(draw, self.seat(needs.avoid))
            .map(endpoint)
            .or_else(|| self.probe_for(pool, needs.view, needs.avoid, needs.avoid_probation))
            .or_else(|| view.least(draw, None).map(endpoint))
            .or_else(|| self.probe_for(pool, needs.view, None, needs.avoid_probation))
    }

    fn choose_full(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        draw: u32,
    ) -> Option<EndpointKey> {
        let pool = &self.pools[key];
        let probe = self.probe_for(pool, needs.view, needs.avoid, needs.avoid_probation);
        if !needs.avoid_probation && probe.is_some() {
            return probe;
        }
        let view = &pool.views[needs.view.0];
        let avoid = self.seat(needs.avoid);
        let Some(least) = view.least(draw, avoid) else {
            return self.choose_least(key, needs, draw);
        };
        let least = pool.endpoints[least as usize];
        let mark = self.level(pool, least, needs.view)?;
        if let Some(endpoint) = self.choose_affine(key, needs, mark) {
            return Some(endpoint);
        }
        let near = pool.centre(needs.data_centre).and_then(|centre| {
            let local = view.least_near(centre, draw, avoid)?;
            let index = pool.centres[centre as usize].start + local;
            Some(pool.endpoints[index as usize])
        });
        let near = near.filter(|endpoint| {
            let level = self.level(pool, *endpoint, needs.view);
            level.is_some_and(|level| level <= mark + NEAR_ALLOWANCE)
        });
        near.or(Some(least))
    }

    fn choose_affine(
        &self,
        key: PoolKey,
        needs: &Requirements<'_>,
        mark: u32,
    ) -> Option<EndpointKey> {
        let prefix = needs.prefix.filter(|_| self.options.affinity)?;
        let pool = &self.pools[key];
        let fits = |endpoint: &EndpointKey| {
            let level = self.level(pool, *endpoint, needs.view);
            let near = level.is_some_and(|level| level <= mark + AFFINITY_ALLOWANCE);
            near && Some(*endpoint) != needs.avoid
        };
        let hint = self.hints.get(prefix).filter(|endpoint| {
            let known = self.endpoints.get(*endpoint);
            known.is_some_and(|known| known.pool == key && !known.retired)
        });
        hint.filter(&fits)
            .or_else(|| pool.ring.choices(prefix).find(fits))
    }

    /// An endpoint on probation that a view may use.
    ///
    /// A avoid_probation call takes one only if no endpoint is up, or if nobody else has probed it.
    pub(crate) fn probe_for(
        &self,
        pool: &Pool,
        view: ViewKey,
        avoid: Option<EndpointKey>,
        avoid_probation: bool,
    ) -> Option<EndpointKey> {
        let view = &pool.views[view.0];
        let any = !avoid_probation || pool.slots == 0;
        let mut probes = pool.probes.iter();
        let fits = |(key, settled): &(&EndpointKey, &bool)| {
            let allowed = any || **settled;
            allowed && Some(**key) != avoid && pool.fits(view, &self.endpoints[**key])
        };
        probes.find(fits).map(|(key, _)| *key)
    }

    /// The level at which a view lists an endpoint of the pool.
    fn level(&self, pool: &Pool, endpoint: EndpointKey, view: ViewKey) -> Option<u32> {
        pool.views[view.0].level(self.endpoints.get(endpoint)?.seat)
    }

    fn seat(&self, endpoint: Option<EndpointKey>) -> Option<Seat> {
        let endpoint = self.endpoints.get(endpoint?)?;
        (!endpoint.retired).then_some(endpoint.seat)
    }
}
