//! What a VM tells its peers apart from its own heartbeats.
//!
//! Changes travel to a few random peers for a few rounds. A summary with the freshest member
//! of each cell keeps other cells alive in the table at a cost that grows with the cells, not
//! with the members. A comparison of everything with one peer repairs what was lost.

use crate::{Core, MembersMessage, Output, State};
use poplarswitch_entity::{Incarnation, Time};
use rand::seq::IteratorRandom as _;
use std::collections::BTreeMap;

/// Peers that hear of changes in one round.
const UPDATE_FANOUT: usize = 3;
/// Peers that hear one summary.
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

    /// Tells two peers the freshest member of each cell.
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
