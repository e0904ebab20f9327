//! Candidates for the home of each route, by rendezvous hashing over the live members.
//!
//! A member that joins or leaves changes the candidates only of the routes for which it is one.
//! All VMs with the same list of members compute the same ranking without exchanging messages.

use poplarswitch_catalog::Route;
use poplarswitch_entity::Incarnation;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members that are tried as the home of a route before the VM falls back to its own scheduler.
const MAX_CANDIDATES: usize = 2;

/// The members, with a cache of the candidates of each route.
#[derive(Debug, Default)]
pub struct Ranking {
    members: Vec<Incarnation>,
    candidates: HashMap<Route, Vec<Incarnation>>,
}

impl Ranking {
    /// Replaces the members and returns whether the list changed.
    pub fn replace(&mut self, mut members: Vec<Incarnation>) -> bool {
        members.sort_unstable();
        members.dedup();
        if members == self.members {
            return false;
        }
        self.members = members;
        self.candidates.clear();
        true
    }

    /// The members, sorted.
    pub fn members(&self) -> &[Incarnation] {
        &self.members
    }

    /// The candidates for the home of a route, best first, from the cache if possible.
    pub fn candidates(&mut self, route: &Route) -> &[Incarnation] {
        if !self.candidates.contains_key(route) {
            let ranked = self.rank(route);
            self.candidates.insert(route.clone(), ranked);
        }
        &self.candidates[route]
    }

    /// Computes the candidates for the home of a route, best first, without the cache.
    pub fn rank(&self, route: &Route) -> Vec<Incarnation> {
        let mut ranked = self.members.clone();
        ranked.sort_by_key(|member| core::cmp::Reverse((score(route, *member), *member)));
        ranked.truncate(MAX_CANDIDATES);
        ranked
    }
}

fn score(route: &Route, member: Incarnation) -> u64 {
    let (kind, name) = match route {
        Route::Model(name) => (1, name.as_str()),
        Route::Service(name) => (2, name.as_str()),
    };
    xxh3_64_with_seed(name.as_bytes(), member.0.rotate_left(kind))
}
