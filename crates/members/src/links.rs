//! Links that this VM opens and keeps open.
//!
//! All members of a cell are linked with one another. To other cells a VM opens a few links,
//! chosen by rendezvous hashing: the choice stays stable while members come and go, and the
//! links of all VMs form a well-connected graph.

use crate::{Identity, Settings, State, table::Table};
use core::{net::SocketAddr, time::Duration};
use poplarswitch_entity::{Incarnation, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two attempts to dial one address.
const REDIAL_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which, within a cell, the VM with the higher incarnation waits to be dialled.
const DIAL_WAIT: Duration = Duration::from_secs(3);

/// Open links, recent dial attempts, and addresses listed by the platform.
#[derive(Debug, Default)]
pub(crate) struct Links {
    open: BTreeSet<Incarnation>,
    dialled: BTreeMap<SocketAddr, Time>,
    listed: BTreeSet<SocketAddr>,
}

impl Links {
    pub(crate) const fn open(&self) -> &BTreeSet<Incarnation> {
        &self.open
    }

    pub(crate) fn opened(&mut self, peer: &Identity) {
        self.open.insert(peer.incarnation);
        self.dialled.remove(&peer.address);
    }

    pub(crate) fn closed(&mut self, peer: Incarnation) -> bool {
        self.open.remove(&peer)
    }

    pub(crate) fn set_listed(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        self.listed = addresses.collect();
    }

    /// Addresses to dial now; they count as dialled at `now`.
    pub(crate) fn dial(
        &mut self,
        now: Time,
        me: &Identity,
        settings: &Settings,
        table: &Table,
    ) -> Vec<SocketAddr> {
        self.dialled
            .retain(|_, at| now.since(*at) < REDIAL_INTERVAL);
        let mut wanted = self.missing_peers(now, me, settings, table);
        wanted.extend(self.unknown_addresses(settings, table));
        wanted.remove(&me.address);
        wanted.retain(|address| !self.dialled.contains_key(address));
        for address in &wanted {
            self.dialled.insert(*address, now);
        }
        wanted.into_iter().collect()
    }

    fn missing_peers(
        &self,
        now: Time,
        me: &Identity,
        settings: &Settings,
        table: &Table,
    ) -> BTreeSet<SocketAddr> {
        let live = table
            .iter()
            .filter(|(_, record)| record.state() != State::Gone);
        let (same_cell, mut remote): (Vec<_>, Vec<_>) =
            live.partition(|(_, record)| record.identity.cell == me.cell);
        let same_cell = same_cell.into_iter().filter(|(peer, record)| {
            me.incarnation < **peer || now.since(record.added_at) >= DIAL_WAIT
        });
        remote.retain(|(_, record)| record.state() == State::Alive);
        remote
            .sort_by_key(|(peer, _)| core::cmp::Reverse(rendezvous_score(me.incarnation, **peer)));
        remote.truncate(settings.remote_links);
        same_cell
            .chain(remote)
            .filter(|(peer, _)| !self.open.contains(*peer))
            .map(|(_, record)| record.identity.address)
            .collect()
    }

    /// Seeds and listed addresses that belong to no known member, or only to one that is gone.
    fn unknown_addresses(&self, settings: &Settings, table: &Table) -> BTreeSet<SocketAddr> {
        let known: BTreeSet<SocketAddr> = table
            .iter()
            .filter(|(_, record)| record.state() != State::Gone)
            .map(|(_, record)| record.identity.address)
            .collect();
        let candidates = settings.seeds.iter().chain(&self.listed);
        candidates
            .filter(|address| !known.contains(address))
            .copied()
            .collect()
    }
}

/// Rendezvous-hashing score of `b` for `a`.
fn rendezvous_score(a: Incarnation, b: Incarnation) -> u64 {
    let mut x = a.0 ^ b.0.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
