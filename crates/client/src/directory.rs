//! Which address to use.

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

/// No VM told which address to use.
#[derive(Debug, Snafu)]
#[snafu(display("ask for an address at {peers:?}: no VM answered"))]
pub struct DirectoryError {
    /// The addresses that were asked.
    peers: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Kept {
    list: AddressList,
    until: Instant,
}

#[derive(Debug)]
struct State {
    kept: Option<Kept>,
    random: Pcg64Mcg,
}

/// Asks for addresses and keeps the answer for its time to live.
#[derive(Debug)]
pub struct Directory {
    seeds: Vec<SocketAddr>,
    fixed: Option<SocketAddr>,
    state: Mutex<State>,
}

impl Directory {
    /// Starts from addresses of any VMs.
    pub fn new(seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let state = State {
            kept: None,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            seeds,
            fixed: None,
            state: Mutex::new(state),
        }
    }

    /// Knows one address and asks nobody; it gives no key token.
    pub fn fixed(address: SocketAddr) -> Self {
        let mut directory = Self::new(Vec::new(), 0);
        directory.fixed = Some(address);
        directory
    }

    /// An address to use, drawn by weight.
    pub fn pick(&self, agent: &Agent) -> Result<SocketAddr, DirectoryError> {
        if let Some(address) = self.fixed {
            return Ok(address);
        }
        let list = self.list(agent)?;
        let draw = self.lock().random.random_range(0..u64::MAX);
        choose(&list.addresses, draw).ok_or_else(|| self.unanswered())
    }

    /// The start of an idempotency key.
    pub fn key_token(&self, agent: &Agent) -> Result<String, DirectoryError> {
        Ok(self.list(agent)?.key_token)
    }

    /// Forgets the kept answer, because an address in it was of no use.
    pub fn forget(&self) {
        self.lock().kept = None;
    }

    fn list(&self, agent: &Agent) -> Result<AddressList, DirectoryError> {
        if let Some(list) = self.kept() {
            return Ok(list);
        }
        let list = self.ask(agent)?;
        let kept = Kept {
            list: list.clone(),
            until: Instant::now() + Duration::from_millis(list.ttl_ms),
        };
        self.lock().kept = Some(kept);
        Ok(list)
    }

    fn kept(&self) -> Option<AddressList> {
        let state = self.lock();
        let kept = state.kept.as_ref()?;
        (Instant::now() < kept.until).then(|| kept.list.clone())
    }

    fn ask(&self, agent: &Agent) -> Result<AddressList, DirectoryError> {
        let start = self.lock().random.random_range(0..self.seeds.len().max(1));
        let (late, early) = self.seeds.split_at(start.min(self.seeds.len()));
        early
            .iter()
            .chain(late)
            .find_map(|seed| ask_one(agent, *seed))
            .ok_or_else(|| self.unanswered())
    }

    fn unanswered(&self) -> DirectoryError {
        DirectoryError {
            peers: self.seeds.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ask_one(agent: &Agent, seed: SocketAddr) -> Option<AddressList> {
    let mut response = agent.get(format!("http://{seed}/v1/address")).call().ok()?;
    let list: AddressList = response.body_mut().read_json().ok()?;
    (!list.addresses.is_empty()).then_some(list)
}

/// Picks an address by weight; the draw is uniform over all numbers.
pub(crate) fn choose(addresses: &[WeightedAddress], draw: u64) -> Option<SocketAddr> {
    let total: u64 = addresses.iter().map(weight).sum();
    let mut left = draw.checked_rem(total)?;
    for address in addresses {
        if left < weight(address) {
            return Some(address.address);
        }
        left -= weight(address);
    }
    None
}

fn weight(address: &WeightedAddress) -> u64 {
    u64::from(address.weight)
}
