//! The homes of each route, by rendezvous hash over the live members.
//!
//! A member that joins or leaves moves only the routes that it wins or held. Every VM
//! with the same list of members computes the same order, without a message.

use poplarswitch_catalog::Route;
use poplarswitch_entity::Incarnation;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Members that a route tries before it falls back to the local scheduler.
const CHOICES: usize = 2;

/// The members and, for each route, the first few of them in the route's order.
#[derive(Debug, Default)]
pub struct Ranking {
    members: Vec<Incarnation>,
    choices: HashMap<Route, Vec<Incarnation>>,
}

impl Ranking {
    /// Replaces the members; says whether that changed anything.
    pub fn replace(&mut self, mut members: Vec<Incarnation>) -> bool {
        members.sort_unstable();
        members.dedup();
        if members == self.members {
            return false;
        }
        self.members = members;
        self.choices.clear();
        true
    }

    /// The members.
    pub fn members(&self) -> &[Incarnation] {
        &self.members
    }

    /// The members to try for a route, the best first.
    pub fn choices(&mut self, route: &Route) -> &[Incarnation] {
        if !self.choices.contains_key(route) {
            let ranked = self.rank(route);
            self.choices.insert(route.clone(), ranked);
        }
        &self.choices[route]
    }

    /// Ranks the members for a route without remembering the result.
    pub fn rank(&self, route: &Route) -> Vec<Incarnation> {
        let mut ranked = self.members.clone();
        ranked.sort_by_key(|member| core::cmp::Reverse((score(route, *member), *member)));
        ranked.truncate(CHOICES);
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
