//! When a silent member is suspected, and when it counts as dead.
//!
//! In the own cell one silent observer is not enough: another VM that is itself heard has to
//! confirm, and only an observer that nobody answers decides alone, later. Members of other
//! cells are judged by their own cell; they are suspected from afar only if their whole cell
//! is silent.

use crate::{Core, FailureMark, MembersMessage, Mutation, Output, State, table::Record};
use core::time::Duration;
use poplarswitch_entity::{Incarnation, Time};
use rand::seq::IteratorRandom as _;

/// Rounds for which a change is passed on.
pub(crate) const RUMOUR_ROUNDS: u8 = 6;
/// Peers that are asked about silent members at once.
const FAN_OUT: usize = 3;
/// Age of a witness's answer from which it no longer counts.
const WITNESS_LIFE: Duration = Duration::from_secs(2);

impl Core {
    pub(crate) fn suspect(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut doubts = Vec::new();
        let mut marks = Vec::new();
        for (incarnation, record) in self.table.iter() {
            if record.state() == State::Gone {
                continue;
            }
            if let Some(mark) = self.judge(now, record) {
                marks.push((*incarnation, mark));
            } else if self.is_near(record)
                && now.since(record.heard) >= self.settings.suspect_after / 2
            {
                doubts.push(*incarnation);
            }
        }
        for (incarnation, mark) in marks {
            if let Some(record) = self.table.get_mut(incarnation) {
                record.set_mark(now, mark);
                self.rumours.insert(incarnation, RUMOUR_ROUNDS);
            }
        }
        if doubts.is_empty() || self.is_mutated(Mutation::SuspectUnconfirmed) {
            return;
        }
        for to in self.observers(&doubts) {
            let message = MembersMessage::DigestRequest(doubts.clone());
            out.push(Output::Send { to, message });
        }
    }

    /// Marks a member at once whose silence is already long enough.
    pub(crate) fn rejudge(&mut self, now: Time, peer: Incarnation) {
        let mark = self
            .table
            .get(peer)
            .and_then(|record| self.judge(now, record));
        if let (Some(mark), Some(record)) = (mark, self.table.get_mut(peer)) {
            record.set_mark(now, mark);
            self.rumours.insert(peer, RUMOUR_ROUNDS);
        }
    }

    /// Notes that something came over the link to a member.
    pub(crate) fn heard_from(&mut self, now: Time, peer: Incarnation) {
        if let Some(record) = self.table.get_mut(peer) {
            record.direct = now;
        }
    }

    /// Closes links that nothing comes over, so that nothing is forwarded over them.
    pub(crate) fn close_silent(&mut self, now: Time, out: &mut Vec<Output>) {
        let bound = self.settings.link_timeout;
        let links = self.links.open().iter().copied();
        let silent: Vec<Incarnation> = links
            .filter(|peer| {
                let record = self.table.get(*peer);
                record.is_some_and(|record| now.since(record.direct) >= bound)
            })
            .collect();
        for peer in silent {
            self.links.closed(peer);
            out.push(Output::Close(peer));
        }
    }

    /// Some linked members that may have heard the silent ones, of the own cell if there are.
    fn observers(&mut self, doubts: &[Incarnation]) -> Vec<Incarnation> {
        let links = self.links.open().iter().copied();
        let (near, far): (Vec<_>, Vec<_>) = links
            .filter(|peer| !doubts.contains(peer))
            .partition(|peer| self.table.get(*peer).is_some_and(|peer| self.is_near(peer)));
        let mut chosen = near.into_iter().sample(&mut self.rng, FAN_OUT);
        let missing = FAN_OUT - chosen.len();
        chosen.extend(far.into_iter().sample(&mut self.rng, missing));
        chosen
    }

    /// The mark that a silent member gets now, if it is worse than the one it has.
    fn judge(&self, now: Time, record: &Record) -> Option<FailureMark> {
        if self.is_mutated(Mutation::NeverSuspect) {
            return None;
        }
        let silence = now.since(record.heard);
        let settings = &self.settings;
        let mark = if self.is_near(record) {
            let alone = self.is_mutated(Mutation::SuspectUnconfirmed);
            let confirmed = alone || self.is_confirmed(now, record);
            if silence >= settings.gone_after {
                FailureMark::Gone
            } else if silence >= settings.unconfirmed_after
                || (silence >= settings.suspect_after && confirmed)
            {
                FailureMark::Suspect
            } else {
                FailureMark::Fine
            }
        } else {
            let cell = now.since(self.table.cell_heard(&record.identity.cell));
            if cell >= settings.gone_after.max(settings.cell_timeout)
                || silence >= settings.forget_after
            {
                FailureMark::Gone
            } else if cell >= settings.cell_timeout {
                FailureMark::Suspect
            } else {
                FailureMark::Fine
            }
        };
        (mark > record.mark).then_some(mark)
    }

    /// Whether another VM of the cell, heard of late, has not heard this member either.
    fn is_confirmed(&self, now: Time, record: &Record) -> bool {
        let bound = self.settings.suspect_after / 2;
        record.witnesses.iter().any(|(witness, said)| {
            let age = Duration::from_millis(u64::from(said.age_ms));
            let witness = self.table.get(*witness);
            let lives = witness.is_some_and(|witness| {
                self.is_near(witness) && now.since(witness.heard) < self.settings.suspect_after
            });
            lives && now.since(said.at) < WITNESS_LIFE && age >= bound
        })
    }
}
