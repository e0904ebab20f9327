//! Gossip digests that a VM sends besides its own heartbeats.
//!
//! Each change of a member is sent to a few random peers for a few rounds. A periodic summary
//! with the newest heartbeat of each cell shows that the other cells are alive; its size grows
//! with the number of cells, not of members. A periodic full digest to one random peer repairs
//! what lost messages left out.

use crate::{Core, MembersMessage, Output, State};
use poplarswitch_entity::{Incarnation, Time};
use rand::seq::IteratorRandom as _;
use std::collections::BTreeMap;

/// Number of peers to which the changes are sent in one round.
const UPDATE_FANOUT: usize = 3;
/// Number of peers to which one summary is sent.
const SUMMARY_FANOUT: usize = 2;

impl Core {
    pub(crate) fn gossip_updates(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.updates.is_empty() {
            return;
        }
        let peers: Vec<Incarnation> = self.updates.keys().copied().collect();
        let entries = peers
            .into_iter()
            .filter_map(|peer| self.digest_entry(now, peer));
        let message = MembersMessage::Digest(entries.collect());
        self.send_sample(&message, UPDATE_FANOUT, out);
        self.updates.retain(|_, rounds| {
            *rounds -= 1;
            *rounds > 0
        });
    }

    /// Sends two random peers the newest heartbeat of each cell.
    pub(crate) fn send_summary(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut cells = BTreeMap::new();
        for (incarnation, record) in self.table.iter() {
            if record.state() == State::Gone {
                continue;
            }
            let best = cells
                .entry(&record.identity.cell)
                .or_insert((record.heard, *incarnation));
            *best = (*best).max((record.heard, *incarnation));
        }
        let fresh: Vec<Incarnation> = cells.values().map(|(_, peer)| *peer).collect();
        let entries = fresh
            .into_iter()
            .filter_map(|peer| self.digest_entry(now, peer));
        let message = MembersMessage::Digest(entries.collect());
        self.send_sample(&message, SUMMARY_FANOUT, out);
    }

    pub(crate) fn send_full_digest(&mut self, now: Time, out: &mut Vec<Output>) {
        let message = MembersMessage::Digest(self.full_digest(now));
        self.send_sample(&message, 1, out);
    }

    fn send_sample(&mut self, message: &MembersMessage, count: usize, out: &mut Vec<Output>) {
        let links = self.links.open().iter().copied();
        for to in links.sample(&mut self.rng, count) {
            let message = message.clone();
            out.push(Output::Send { to, message });
        }
    }
}
