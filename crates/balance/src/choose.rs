//! The choice of a site for one call.
//!
//! The least loaded site sets the mark. A site that probably holds the prompt's prefix may
//! be busier than the mark by the affinity allowance, a site in the caller's data centre by
//! the nearness allowance. A site on probation is given a call first, unless the call has
//! to be careful: because it may not run twice, or because lower tiers' calls can probe.
//! Such a call waits rather than probes, for as long as another site is up and for a grace.

use crate::balancer::Style;
use crate::pool::Pool;
use crate::view::{Seat, ViewKey};
use crate::{Balancer, PoolKey, SiteKey};
use poplarswitch_entity::{DataCentre, PrefixHash};
use rand::Rng;

/// Level by which a site that holds the prefix may exceed the least loaded one.
const AFFINITY_ALLOWANCE: u32 = 19;
/// Level by which a site in the caller's data centre may exceed the least loaded one.
const NEAR_ALLOWANCE: u32 = 8;

/// What a call needs from its site.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The sites that it may use.
    pub view: ViewKey,
    /// Hash of its workspace and prompt prefix, if it has a prompt.
    pub prefix: Option<PrefixHash>,
    /// Where its caller stands.
    pub near: &'a DataCentre,
    /// A site that has just failed it.
    pub avoid: Option<SiteKey>,
    /// Whether it must keep away from sites on probation.
    pub cautious: bool,
}

impl Balancer {
    /// Chooses a site with a free slot.
    pub fn choose(&mut self, pool: PoolKey, ask: &Ask<'_>) -> Option<SiteKey> {
        let draw = self.random.next_u32();
        match self.options.style {
            Style::Turn => self.choose_turn(pool, ask, draw),
            Style::Least => self.choose_least(pool, ask, draw),
            Style::Full => self.choose_full(pool, ask, draw),
        }
    }

    fn choose_turn(&mut self, key: PoolKey, ask: &Ask<'_>, draw: u32) -> Option<SiteKey> {
        let pool = &self.pools[key];
        let count = pool.sites.len();
        let index = (0..count)
            .map(|step| (pool.turn + step) % count)
            .find(|index| {
                let site = pool.sites[*index];
                Some(site) != ask.avoid && self.level(pool, site, ask.view).is_some()
            });
        let Some(index) = index else {
            return self.choose_least(key, ask, draw);
        };
        let site = pool.sites[index];
        self.pools[key].turn = index + 1;
        Some(site)
    }

    fn choose_least(&self, key: PoolKey, ask: &Ask<'_>, draw: u32) -> Option<SiteKey> {
        let pool = &self.pools[key];
        let view = &pool.views[ask.view.0];
        let site = |index: u32| pool.sites[index as usize];
        view.least(draw, self.seat(ask.avoid))
            .map(site)
            .or_else(|| self.probe_for(pool, ask.view, ask.avoid, ask.cautious))
            .or_else(|| view.least(draw, None).map(site))
            .or_else(|| self.probe_for(pool, ask.view, None, ask.cautious))
    }

    fn choose_full(&self, key: PoolKey, ask: &Ask<'_>, draw: u32) -> Option<SiteKey> {
        let pool = &self.pools[key];
        let probe = self.probe_for(pool, ask.view, ask.avoid, ask.cautious);
        if !ask.cautious && probe.is_some() {
            return probe;
        }
        let view = &pool.views[ask.view.0];
        let avoid = self.seat(ask.avoid);
        let Some(least) = view.least(draw, avoid) else {
            return self.choose_least(key, ask, draw);
        };
        let least = pool.sites[least as usize];
        let mark = self.level(pool, least, ask.view)?;
        if let Some(site) = self.choose_affine(key, ask, mark) {
            return Some(site);
        }
        let near = pool.centre(ask.near).and_then(|centre| {
            let local = view.least_near(centre, draw, avoid)?;
            let index = pool.centres[centre as usize].start + local;
            Some(pool.sites[index as usize])
        });
        let near = near.filter(|site| {
            let level = self.level(pool, *site, ask.view);
            level.is_some_and(|level| level <= mark + NEAR_ALLOWANCE)
        });
        near.or(Some(least))
    }

    fn choose_affine(&self, key: PoolKey, ask: &Ask<'_>, mark: u32) -> Option<SiteKey> {
        let prefix = ask.prefix.filter(|_| self.options.affinity)?;
        let pool = &self.pools[key];
        let fits = |site: &SiteKey| {
            let level = self.level(pool, *site, ask.view);
            let near = level.is_some_and(|level| level <= mark + AFFINITY_ALLOWANCE);
            near && Some(*site) != ask.avoid
        };
        let hint = self.hints.get(prefix).filter(|site| {
            let known = self.sites.get(*site);
            known.is_some_and(|known| known.pool == key && !known.retired)
        });
        hint.filter(&fits)
            .or_else(|| pool.ring.choices(prefix).find(fits))
    }

    /// A site on probation that a view may use.
    ///
    /// A cautious call takes one only if no site is up, or if nobody else has probed it.
    pub(crate) fn probe_for(
        &self,
        pool: &Pool,
        view: ViewKey,
        avoid: Option<SiteKey>,
        cautious: bool,
    ) -> Option<SiteKey> {
        let view = &pool.views[view.0];
        let any = !cautious || pool.slots == 0;
        let mut probes = pool.probes.iter();
        let fits = |(key, settled): &(&SiteKey, &bool)| {
            let allowed = any || **settled;
            allowed && Some(**key) != avoid && pool.fits(view, &self.sites[**key])
        };
        probes.find(fits).map(|(key, _)| *key)
    }

    /// The level at which a view lists a site of the pool.
    fn level(&self, pool: &Pool, site: SiteKey, view: ViewKey) -> Option<u32> {
        pool.views[view.0].level(self.sites.get(site)?.seat)
    }

    fn seat(&self, site: Option<SiteKey>) -> Option<Seat> {
        let site = self.sites.get(site?)?;
        (!site.retired).then_some(site.seat)
    }
}
