//! The choice of a site for one call.
//!
//! The least loaded site sets the mark. A site that probably holds the prompt's prefix may
//! be busier than the mark by the affinity allowance, a site in the caller's data centre by
//! the nearness allowance. A site on probation is given a call first, unless the call may
//! not run twice.

use crate::balancer::Style;
use crate::pool::Pool;
use crate::view::{Rank, ViewKey};
use crate::{Balancer, PoolKey, SiteKey};
use poplarswitch_entity::{DataCentre, PrefixHash};

/// Level by which a site that holds the prefix may exceed the least loaded one.
const AFFINITY_ALLOWANCE: u32 = 300;
/// Level by which a site in the caller's data centre may exceed the least loaded one.
const NEAR_ALLOWANCE: u32 = 125;

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
        match self.options.style {
            Style::Turn => self.choose_turn(pool, ask),
            Style::Least => self.choose_least(pool, ask),
            Style::Full => self.choose_full(pool, ask),
        }
    }

    fn choose_turn(&mut self, pool: PoolKey, ask: &Ask<'_>) -> Option<SiteKey> {
        let state = &self.pools[pool];
        let count = state.sites.len();
        let index = (0..count)
            .map(|step| (state.turn + step) % count)
            .find(|index| {
                let key = state.sites[*index];
                let only = count == 1;
                self.lists(key, ask.view) && (only || Some(key) != ask.avoid)
            });
        let Some(index) = index else {
            return self.choose_least(pool, ask);
        };
        let key = state.sites[index];
        self.pools[pool].turn = index + 1;
        Some(key)
    }

    fn choose_least(&self, pool: PoolKey, ask: &Ask<'_>) -> Option<SiteKey> {
        let state = &self.pools[pool];
        let view = &state.views[ask.view.0];
        view.least(ask.avoid)
            .map(|rank| rank.site)
            .or_else(|| self.probe_for(state, ask.view, ask.avoid))
            .or_else(|| view.least(None).map(|rank| rank.site))
            .or_else(|| self.probe_for(state, ask.view, None))
    }

    fn choose_full(&self, pool: PoolKey, ask: &Ask<'_>) -> Option<SiteKey> {
        let state = &self.pools[pool];
        let probe = self.probe_for(state, ask.view, ask.avoid);
        if !ask.cautious && probe.is_some() {
            return probe;
        }
        let view = &state.views[ask.view.0];
        let Some(least) = view.least(ask.avoid) else {
            return self.choose_least(pool, ask);
        };
        if let Some(site) = self.choose_affine(pool, ask, least) {
            return Some(site);
        }
        let near = view
            .least_near(ask.near, ask.avoid)
            .filter(|near| near.level <= least.level + NEAR_ALLOWANCE);
        Some(near.unwrap_or(least).site)
    }

    fn choose_affine(&self, key: PoolKey, ask: &Ask<'_>, least: Rank) -> Option<SiteKey> {
        let prefix = ask.prefix.filter(|_| self.options.affinity)?;
        let bound = least.level + AFFINITY_ALLOWANCE;
        let fits = |site: &SiteKey| {
            let rank = self.rank(*site, ask.view);
            Some(*site) != ask.avoid && rank.is_some_and(|rank| rank.level <= bound)
        };
        let hint = self.hints.get(prefix).filter(|site| {
            let known = self.sites.get(*site);
            known.is_some_and(|known| known.pool == key)
        });
        hint.filter(&fits)
            .or_else(|| self.pools[key].ring.choices(prefix).find(fits))
    }

    /// A site on probation that a view may use.
    pub(crate) fn probe_for(
        &self,
        pool: &Pool,
        view: ViewKey,
        avoid: Option<SiteKey>,
    ) -> Option<SiteKey> {
        let view = &pool.views[view.0];
        let mut probes = pool.probes.iter().copied();
        probes.find(|key| Some(*key) != avoid && pool.fits(view, &self.sites[*key]))
    }

    fn lists(&self, site: SiteKey, view: ViewKey) -> bool {
        self.rank(site, view).is_some()
    }

    fn rank(&self, site: SiteKey, view: ViewKey) -> Option<Rank> {
        self.sites.get(site)?.listed.get(view.0).copied().flatten()
    }
}
