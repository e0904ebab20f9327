//! The addresses that calls are sent to, as given by the VMs.

use core::{net::SocketAddr, time::Duration};
use poplarswitch_wire::{AddressList, WeightedAddress};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use snafu::Snafu;
use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};
use ureq::Agent;

/// No VM gave an address.
#[derive(Debug, Snafu)]
#[snafu(display("no VM gave an address; queried {seeds:?}"))]
pub struct DirectoryError {
    /// Addresses that were queried.
    seeds: Vec<SocketAddr>,
}

#[derive(Debug)]
struct CachedList {
    list: AddressList,
    expiry: Instant,
}

#[derive(Debug)]
struct State {
    cached: Option<CachedList>,
    rng: Pcg64Mcg,
}

/// Queries VMs for addresses and caches the list for its time to live.
#[derive(Debug)]
pub struct Directory {
    seeds: Vec<SocketAddr>,
    fixed: Option<SocketAddr>,
    state: Mutex<State>,
}

impl Directory {
    /// Creates a directory that queries the given addresses of VMs. `seed` is the seed of its
    /// random choices.
    pub fn new(seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let state = State {
            cached: None,
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            seeds,
            fixed: None,
            state: Mutex::new(state),
        }
    }

    /// Creates a directory that always gives one address and queries no VM. It gives no key token.
    pub fn fixed(address: SocketAddr) -> Self {
        let mut directory = Self::new(Vec::new(), 0);
        directory.fixed = Some(address);
        directory
    }

    /// Picks an address at random, in proportion to the weights in the list.
    ///
    /// # Errors
    ///
    /// Fails if the list is not cached and no VM gives one, or if all weights are 0.
    pub fn pick(&self, agent: &Agent) -> Result<SocketAddr, DirectoryError> {
        if let Some(address) = self.fixed {
            return Ok(address);
        }
        let list = self.list(agent)?;
        let draw = self.lock().rng.random_range(0..u64::MAX);
        choose_weighted(&list.addresses, draw).ok_or_else(|| self.no_answer())
    }

    /// Key token: the start of each idempotency key that the caller creates.
    ///
    /// # Errors
    ///
    /// Fails if the list is not cached and no VM gives one.
    pub fn key_token(&self, agent: &Agent) -> Result<String, DirectoryError> {
        Ok(self.list(agent)?.key_token)
    }

    /// Drops the cached list, so that the next request for an address queries a VM again. Used
    /// when a VM in the list can't be reached or does not accept calls.
    pub fn invalidate(&self) {
        self.lock().cached = None;
    }

    fn list(&self, agent: &Agent) -> Result<AddressList, DirectoryError> {
        if let Some(list) = self.cached() {
            return Ok(list);
        }
        let list = self.query(agent)?;
        let cached = CachedList {
            list: list.clone(),
            expiry: Instant::now() + Duration::from_millis(list.ttl_ms),
        };
        self.lock().cached = Some(cached);
        Ok(list)
    }

    fn cached(&self) -> Option<AddressList> {
        let state = self.lock();
        let cached = state.cached.as_ref()?;
        (Instant::now() < cached.expiry).then(|| cached.list.clone())
    }

    fn query(&self, agent: &Agent) -> Result<AddressList, DirectoryError> {
        let start = self.lock().rng.random_range(0..self.seeds.len().max(1));
        let (before, after) = self.seeds.split_at(start.min(self.seeds.len()));
        after
            .iter()
            .chain(before)
            .find_map(|seed| query_seed(agent, *seed))
            .ok_or_else(|| self.no_answer())
    }

    fn no_answer(&self) -> DirectoryError {
        DirectoryError {
            seeds: self.seeds.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn query_seed(agent: &Agent, seed: SocketAddr) -> Option<AddressList> {
    let mut response = agent.get(format!("http://{seed}/v1/address")).call().ok()?;
    let list: AddressList = response.body_mut().read_json().ok()?;
    (!list.addresses.is_empty()).then_some(list)
}

/// Picks an address in proportion to its weight, by a number that is drawn uniformly from all
/// `u64`; returns `None` if there is no address with a weight.
pub(crate) fn choose_weighted(addresses: &[WeightedAddress], draw: u64) -> Option<SocketAddr> {
    let total: u64 = addresses.iter().map(weight).sum();
    let mut rest = draw.checked_rem(total)?;
    for address in addresses {
        if rest < weight(address) {
            return Some(address.address);
        }
        rest -= weight(address);
    }
    None
}

fn weight(address: &WeightedAddress) -> u64 {
    u64::from(address.weight)
}
